// Command stand plays one case of the review: it starts the product's entries as processes of their own and
// the stand-ins of the platform's store, the workers and the cloud beside them, on loopback.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scene is the deployment of one case.
type scene struct {
	rec     *record
	dir     string
	command string
	trouble bool
	floor   *floor
	store   *store
	cloud   *cloud
	entries []*entry
}

// cases holds the script of each case by its name. A script returns the breaks of its rule.
var cases = map[string]func(s *scene) ([]string, error){
	"deadly":   playDeadly,
	"ends":     playEnds,
	"gang":     playGang,
	"standing": playStanding,
	"moved":    playMoved,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD COMMAND")
		return couldNot
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	s := &scene{rec: rec, dir: dir, command: os.Args[3], trouble: os.Getenv("TROUBLE") != "0"}
	if os.Getenv("KEEP_LOGS") != "" {
		rec.say("logs of the entries: %s", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	defer s.end()
	breaks, err := s.watch(cases[os.Args[1]])
	if err != nil {
		rec.say("the case could not run: %v", err)
		return couldNot
	}
	for i, b := range breaks {
		if i == 10 {
			rec.say("... and %d more", len(breaks)-i)
			break
		}
		rec.say("broken: %s", b)
	}
	if len(breaks) > 0 {
		return broken
	}
	rec.say("the rule held")
	return held
}

// watch plays a case until it ends, takes too long or is interrupted.
func (s *scene) watch(script func(s *scene) ([]string, error)) (breaks []string, err error) {
	const longest = 112 * time.Second
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		breaks, err = script(s)
	}()
	select {
	case <-done:
		return breaks, err
	case <-interrupted:
		return nil, errors.New("interrupted")
	case <-time.After(longest):
		return nil, errors.New("it took too long")
	}
}

// set starts the stand-ins and creates the given number of entries, which it does not start.
func (s *scene) set(entries int, spare string, rejects map[string]bool) error {
	s.floor = &floor{rec: s.rec, units: map[string][]unit{}, gangs: map[string]*gang{}}
	s.store = newStore(s.rec)
	var err error
	if s.cloud, err = newCloud(s.rec, s.floor, s.store, spare, rejects); err != nil {
		return err
	}
	for i := range entries {
		name := fmt.Sprintf("edge-%d", i+1)
		address, err := s.store.listen(name)
		if err != nil {
			return err
		}
		e, err := newEntry(name, s.dir, address, s.cloud.address, s.rec)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
	}
	return nil
}

// names returns the names of all entries.
func (s *scene) names() []string {
	var list []string
	for _, e := range s.entries {
		list = append(list, e.name)
	}
	return list
}

// begin starts the given entries and waits until they are ready and the workers are in service.
func (s *scene) begin(list ...*entry) error {
	for _, e := range list {
		if err := e.start(s.command); err != nil {
			return err
		}
	}
	for _, e := range list {
		if !await(20*time.Second, e.isReady) {
			return fmt.Errorf("%s was not ready in time", e.name)
		}
	}
	return nil
}

// end ends all processes that the case started.
func (s *scene) end() {
	for _, e := range s.entries {
		e.kill()
		e.log.Close()
	}
}

// await waits until a condition holds and reports whether it did in time.
func await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

var errNotAccepted = errors.New("a job was not accepted")

func contains(text, part string) bool { return strings.Contains(text, part) }
