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

const keyRefreshInterval = 1 * time.Second

// keyFile holds the bearer keys of a file and reloads the file when it changes. Each line has the
// holder's name and the key; the newest key comes first. If the file cannot be read, the keys read
// before remain valid. Before the first successful read there are no keys: operators are refused,
// and a peer is accepted only if it presents an empty key.
type keyFile struct {
	path        string // if empty, every key is accepted
	mu          sync.Mutex
	checkedAt   time.Time
	modTime     time.Time
	holders     map[string]string // holders' names by key
	newestFirst []string
}

// refresh reloads the file if it has changed; it checks that at most once in keyRefreshInterval.
// The caller holds the lock.
func (k *keyFile) refresh(now time.Time) {
	if k.path == "" || now.Sub(k.checkedAt) < keyRefreshInterval {
		return
	}
	k.checkedAt = now
	info, err := os.Stat(k.path)
	if err == nil && info.ModTime().Equal(k.modTime) {
		return
	}
	data, err := os.ReadFile(k.path)
	if err != nil {
		logrus.WithError(err).Error("key file cannot be read; the keys read before remain valid")
		return
	}
	k.modTime = info.ModTime()
	k.holders, k.newestFirst = parseKeys(data)
}

// parseKeys returns the holders' names by key, and the keys in the order of the file. It ignores
// comments, which begin with #, and other lines that do not have exactly two fields.
func parseKeys(data []byte) (holders map[string]string, newestFirst []string) {
	holders = map[string]string{}
	sc := bufio.NewScanner(bytes.NewReader(data))
	for sc.Scan() {
		fields := strings.Fields(sc.Text())
		if len(fields) != 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		holders[fields[1]] = fields[0]
		newestFirst = append(newestFirst, fields[1])
	}
	return holders, newestFirst
}

// holder returns the name of a key's holder.
func (k *keyFile) holder(key string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.path == "" {
		return "anyone", true
	}
	k.refresh(time.Now())
	name, ok := k.holders[key]
	return name, ok
}

// all returns the accepted keys of peers. If the list is empty, every key is accepted.
func (k *keyFile) all() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.path == "" {
		return nil
	}
	k.refresh(time.Now())
	if len(k.newestFirst) == 0 {
		return []string{""} // an empty list would accept every peer; this one accepts peers that present an empty key
	}
	return append([]string(nil), k.newestFirst...)
}

// newest returns the key to present to peers.
func (k *keyFile) newest() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh(time.Now())
	if len(k.newestFirst) == 0 {
		return ""
	}
	return k.newestFirst[0]
}
