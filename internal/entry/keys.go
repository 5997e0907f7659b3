package entry

import (
	"bufio"
	"bytes"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const keysEvery = 1 * time.Second

// keyFile reads bearer keys from a file and reads it again when it changes. Each
// line holds a name and a key; the newest key comes first. If the file cannot be
// read, the keys last read stand; if it never could be, no key is accepted.
type keyFile struct {
	path    string // empty: everyone is let in
	mu      sync.Mutex
	checked time.Time
	changed time.Time
	names   map[string]string // by key
	order   []string
}

// load returns the keys, at most keysEvery old. The caller holds the lock.
func (k *keyFile) load(now time.Time) {
	if k.path == "" || now.Sub(k.checked) < keysEvery {
		return
	}
	k.checked = now
	info, err := os.Stat(k.path)
	if err == nil && info.ModTime().Equal(k.changed) {
		return
	}
	data, err := os.ReadFile(k.path)
	if err != nil {
		logrus.WithError(err).Error("key file not read; the keys last read stand")
		return
	}
	k.changed = info.ModTime()
	k.names, k.order = parseKeys(data)
}

func parseKeys(data []byte) (names map[string]string, order []string) {
	names = map[string]string{}
	sc := bufio.NewScanner(bytes.NewReader(data))
	for sc.Scan() {
		fields := strings.Fields(sc.Text())
		if len(fields) != 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		names[fields[1]] = fields[0]
		order = append(order, fields[1])
	}
	return names, order
}

// holder returns the name of a key's holder.
func (k *keyFile) holder(key string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.path == "" {
		return "anyone", true
	}
	k.load(time.Now())
	name, ok := k.names[key]
	return name, ok
}

// all returns the accepted keys; none if everyone is let in.
func (k *keyFile) all() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.path == "" {
		return nil
	}
	k.load(time.Now())
	if len(k.order) == 0 {
		return []string{""} // a key that no peer may present
	}
	return append([]string(nil), k.order...)
}

// newest returns the key to present to others.
func (k *keyFile) newest() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.load(time.Now())
	if len(k.order) == 0 {
		return ""
	}
	return k.order[0]
}
