package drive

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// configApply is the time within which a configuration has to be in force on all entries.
const configApply = 3 * time.Second

// publish writes a configuration with the queue q in a pool and client accounts, given by their keys.
func (c *cluster) publish(version int64, pool string, keys map[string][]string) {
	c.t.Helper()
	accounts := []emul.Account{}
	for name, list := range keys {
		accounts = append(accounts, emul.Account{Name: name, Keys: list, Weight: 10})
	}
	queues := []emul.Queue{{Name: "q", Pool: pool}, {Name: "open", Pool: pool, Public: true}}
	assert.NilError(c.t, c.emulator.Publish(&emul.Configuration{Version: version, Queues: queues, Pools: []string{"alpha", "delta"}, Accounts: accounts}))
}

// awaitVersion waits until the given entries have a version in force, at most for configApply.
func (c *cluster) awaitVersion(version int64, entries ...int) {
	c.t.Helper()
	began := time.Now()
	for _, i := range entries {
		c.await(fmt.Sprintf("version %d at entry %d", version, i), func() bool { return c.nodes[i].Config() != nil && c.nodes[i].Config().Version >= version })
	}
	assert.Assert(c.t, time.Since(began) < configApply, "version %d was in force after %s", version, time.Since(began))
}

// awaitStatus waits until a request with a key gets the wanted status.
func (c *cluster) awaitStatus(want, entry int, key, method, path, body string) {
	c.t.Helper()
	got := 0
	c.await(fmt.Sprintf("status %d of %s %s", want, method, path), func() bool {
		got, _ = c.callWithKey(entry, key, method, path, body)
		return got == want || got != http.StatusServiceUnavailable && got != 0 && got != http.StatusGatewayTimeout
	})
	assert.Equal(c.t, got, want, "%s %s with key %q at entry %d", method, path, key, entry)
}

// awaitContact waits until each entry has got an answer from another one.
func (c *cluster) awaitContact() {
	c.t.Helper()
	for i, n := range c.nodes {
		c.await(fmt.Sprintf("contact of entry %d", i), func() bool {
			n.syncPeers.mu.Lock()
			defer n.syncPeers.mu.Unlock()
			for _, p := range n.syncPeers.known {
				if p.answered {
					return true
				}
			}
			return false
		})
	}
}

// awaitOwners waits until the entries that the emulator assigns partitions to, the first ones by
// name, own them all, and returns these and the others.
func (c *cluster) awaitOwners() (owners, others []int) {
	c.t.Helper()
	byName := make([]int, len(c.nodes))
	for i := range byName {
		byName[i] = i
	}
	slices.SortFunc(byName, func(a, b int) int { return strings.Compare(c.nodes[a].settings.Entry, c.nodes[b].settings.Entry) })
	n := min(len(c.nodes), partitions)
	owners, others = byName[:n], byName[n:]
	c.await("partitions spread over the entries", func() bool {
		return !slices.ContainsFunc(owners, func(i int) bool { return !c.nodes[i].ownsAny() }) &&
			!slices.ContainsFunc(others, func(i int) bool { return c.nodes[i].ownsAny() })
	})
	return owners, others
}

// TestCutOffEntriesLearnOfRevokedKey guards against a revoked key that works for longer than the
// bound on entries that the log rejects.
func TestCutOffEntriesLearnOfRevokedKey(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		cutOff  func(owner bool, i int) bool
	}{
		{"one of three", 3, func(_ bool, i int) bool { return i == 2 }},
		{"a third, no matter which", 12, func(_ bool, i int) bool { return i%3 == 0 }},
		{"a third, all owners", 12, func(owner bool, _ int) bool { return owner }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, tt.entries, map[string]int{"alpha": 1, "delta": 1})
			c.publish(5, "alpha", map[string][]string{"a": {"key-1", "key-2"}})
			all, names, cut := []int{}, []string{}, []int{}
			for i := range c.nodes {
				all = append(all, i)
			}
			c.awaitVersion(5, all...)
			c.awaitContact()
			owners, _ := c.awaitOwners()
			for _, i := range all {
				if tt.cutOff(slices.Contains(owners, i), i) {
					cut, names = append(cut, i), append(names, c.nodes[i].settings.Entry)
				}
			}
			assert.Assert(t, len(cut) > 0 && 3*len(cut) <= tt.entries, "%v are cut off", cut)
			c.emulator.CutOff(names...)
			c.publish(8, "alpha", map[string][]string{"a": {"key-2"}})
			c.awaitVersion(8, all...)
			for _, i := range cut {
				c.awaitStatus(http.StatusUnauthorized, i, "key-1", http.MethodGet, "/q/00000000000000a1", "")
				c.awaitStatus(http.StatusGone, i, "key-2", http.MethodGet, "/q/00000000000000a1", "")
			}
		})
	}
}

// TestCutOffEntryLearnsWithoutOwners guards against an entry that the log rejects and that learns
// nothing more because all owners that it knows have crashed, as with a rack. It has heard of the other
// entry without partitions only from them.
func TestCutOffEntryLearnsWithoutOwners(t *testing.T) {
	c := newCluster(t, 6, map[string]int{"alpha": 1})
	c.publish(5, "alpha", map[string][]string{"a": {"key-1", "key-2"}})
	c.awaitVersion(5, 0, 1, 2, 3, 4, 5)
	owners, others := c.awaitOwners()
	cut, informed := c.nodes[others[0]], c.nodes[others[1]]
	c.await("they have heard of each other, but not as owners", func() bool {
		if slices.Contains(cut.owners.peers(""), informed.address) || slices.Contains(informed.owners.peers(""), cut.address) {
			return false
		}
		cut.syncPeers.mu.Lock()
		defer cut.syncPeers.mu.Unlock()
		return cut.syncPeers.known[informed.address] != nil
	})
	c.emulator.CutOff(cut.settings.Entry)
	time.Sleep(memberTTL + joinInterval) // it has left the group, so that the next owners do not call it
	for _, i := range owners {
		c.kill(i)
	}
	c.publish(8, "alpha", map[string][]string{"a": {"key-2"}})
	c.awaitVersion(8, others...)
	c.awaitStatus(http.StatusUnauthorized, others[0], "key-1", http.MethodGet, "/q/00000000000000a1", "")
}

// TestStrictEntryWithoutNewsRefusesKeyedCalls guards against an entry with revoke-strict that
// serves keyed calls although neither the log nor a peer has confirmed its keys, and against one that
// goes on refusing after a contact. The first contact is with a peer that it did not know before.
func TestStrictEntryWithoutNewsRefusesKeyedCalls(t *testing.T) {
	const revokeMS = 1500
	c := newAdjustedCluster(t, 2, map[string]int{"alpha": 1}, func(b *site.Bounds) { b.RevokeStrict, b.RevokeMS = true, revokeMS })
	c.publish(5, "alpha", map[string][]string{"a": {"key-1"}})
	c.awaitVersion(5, 0, 1)
	const path = "/q/00000000000000a1"
	c.awaitStatus(http.StatusGone, 1, "key-1", http.MethodGet, path, "")
	var lastServed time.Time // start of the last call that was not refused for its key
	refused := func() bool {
		sentAt := time.Now()
		_, body := c.callWithKey(1, "key-1", http.MethodGet, path, "")
		if body == `{"error":"the keys in force cannot be confirmed"}`+"\n" {
			return true
		}
		lastServed = sentAt
		return false
	}
	c.kill(0)
	c.emulator.CutOff("entry-1")
	cutOffAt := time.Now()
	c.await("refusal", refused)
	assert.Assert(t, lastServed.Sub(cutOffAt) <= revokeMS*time.Millisecond, "a call sent %s after the last confirmation was served", lastServed.Sub(cutOffAt))
	status, _ := c.callWithKey(1, "other", http.MethodGet, path, "")
	assert.Equal(t, status, http.StatusUnauthorized)
	c.startEntry(2)
	c.await("contact with the new entry", func() bool { return !refused() })
	c.awaitStatus(http.StatusGone, 1, "key-1", http.MethodGet, path, "")
	c.kill(2)
	c.await("refusal", refused)
	c.emulator.CutOff()
	c.await("contact with the log", func() bool { return !refused() })
	c.awaitStatus(http.StatusGone, 1, "key-1", http.MethodGet, path, "")
}

// TestConfigurationNeverGoesBack guards against a revoked key that is admitted again: on running
// entries by an older version that comes later, and on an entry that restarts while the log rejects it.
func TestConfigurationNeverGoesBack(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 1})
	c.publish(7, "alpha", map[string][]string{"a": {"key-2"}})
	c.awaitVersion(7, 0, 1)
	c.publish(5, "alpha", map[string][]string{"a": {"key-1", "key-2"}})
	c.kill(1)
	c.emulator.CutOff("entry-1")
	c.startEntry(1)
	const path = "/q/00000000000000a1"
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, _ := c.callWithKey(0, "key-1", http.MethodGet, path, "")
		assert.Equal(t, status, http.StatusUnauthorized)
		status, _ = c.callWithKey(2, "key-1", http.MethodGet, path, "")
		assert.Assert(t, status == 0 || status == http.StatusServiceUnavailable || status == http.StatusUnauthorized, "status %d", status)
	}
	c.publish(9, "alpha", map[string][]string{"a": {"key-2"}})
	c.emulator.CutOff()
	c.awaitVersion(9, 0, 2)
	c.awaitStatus(http.StatusUnauthorized, 2, "key-1", http.MethodGet, path, "")
	c.awaitStatus(http.StatusGone, 2, "key-2", http.MethodGet, path, "")
}

// TestAccountAddedRemovedAndAddedAgain guards against an account that stays unknown or admitted after
// a change, and against jobs that are lost or handed to another account when theirs is removed.
func TestAccountAddedRemovedAndAddedAgain(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 1})
	const path = "/q/00000000000000b1"
	c.publish(5, "alpha", map[string][]string{"a": {"key-a"}})
	c.awaitVersion(5, 0, 1)
	c.awaitStatus(http.StatusUnauthorized, 1, "key-b", http.MethodPost, path, twoSteps)
	c.publish(6, "alpha", map[string][]string{"a": {"key-a"}, "b": {"key-b"}})
	c.awaitVersion(6, 0, 1)
	c.awaitStatus(http.StatusOK, 1, "key-b", http.MethodPost, path, twoSteps)
	c.publish(7, "alpha", map[string][]string{"a": {"key-a"}})
	c.awaitVersion(7, 0, 1)
	c.awaitStatus(http.StatusUnauthorized, 0, "key-b", http.MethodGet, path, "")
	c.awaitStatus(http.StatusGone, 0, "key-a", http.MethodGet, path, "")
	c.await("the job's tasks end", func() bool {
		done := 0
		for _, r := range c.emulator.Ledger.Runs() {
			if r.How == "done" {
				done++
			}
		}
		return done == 6
	})
	c.publish(8, "alpha", map[string][]string{"a": {"key-a"}, "b": {"key-b"}})
	c.awaitVersion(8, 0, 1)
	c.awaitStatus(http.StatusOK, 0, "key-b", http.MethodGet, path, "")
	assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
}

// TestJobStaysItsAccounts guards against a job that another account can see, cancel or replace, or
// that its own account loses or runs twice: after its submission, after a takeover, after its queue moved
// to another pool, and after its account's key was rotated.
func TestJobStaysItsAccounts(t *testing.T) {
	longRunning := emul.Task{CPU: 1000, LongRunning: true}
	emulator, err := emul.Start(emul.Options{
		Pools: map[string]int{"alpha": 1, "delta": 1}, MoveTime: 200 * time.Millisecond, Lookup: func(string) emul.Task { return longRunning },
	})
	assert.NilError(t, err)
	c := newClusterOn(t, emulator, 3, nil)
	const id = "00000000000000c1"
	const body = `{"steps":[{"count":2,"cpu":1000,"longRunning":true}]}`
	key := "key-a"
	entry := 0
	check := func(when string) {
		t.Helper()
		c.awaitStatus(http.StatusOK, entry, key, http.MethodPost, "/q/"+id, body)
		c.awaitStatus(http.StatusOK, entry, key, http.MethodGet, "/q/"+id, "")
		c.awaitStatus(http.StatusGone, entry, "key-b", http.MethodGet, "/q/"+id, "")
		c.awaitStatus(http.StatusGone, entry, "key-b", http.MethodDelete, "/q/"+id, "")
		for range 3 {
			status, answer := c.callWithKey(entry, "key-b", http.MethodPost, "/q/"+id, body)
			assert.Equal(t, status, http.StatusServiceUnavailable, "%s: %s", when, answer)
		}
	}
	c.publish(5, "alpha", map[string][]string{"a": {key}, "b": {"key-b"}})
	c.awaitVersion(5, 0, 1, 2)
	check("after the submission")
	c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) == 2 })
	owner := c.owner()
	entry = (owner + 1) % 3
	other := (owner + 2) % 3
	c.kill(owner)
	check("after a takeover")
	assert.Assert(t, c.nodes[0].partitionOf("alpha") != c.nodes[0].partitionOf("delta"), "the pools must be in different partitions")
	c.publish(6, "delta", map[string][]string{"a": {key}, "b": {"key-b"}})
	c.awaitVersion(6, entry, other)
	check("after the queue moved")
	c.publish(7, "delta", map[string][]string{"a": {"key-c"}, "b": {"key-b"}})
	c.awaitVersion(7, entry, other)
	c.awaitStatus(http.StatusUnauthorized, entry, key, http.MethodPost, "/q/"+id, body)
	key = "key-c"
	check("after the key was rotated")
	running := 0
	for _, r := range c.emulator.Ledger.Runs() {
		if r.End.IsZero() {
			running++
		}
	}
	assert.Equal(t, running, 2)
	assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
}

// TestManyAccountsInForceInTime guards against a large configuration that is in force too late, also on
// an entry that gets it from a peer.
func TestManyAccountsInForceInTime(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 1})
	config := &emul.Configuration{Version: 5, Pools: []string{"alpha"}, Accounts: []emul.Account{}}
	for i := range 1400 {
		config.Queues = append(config.Queues, emul.Queue{Name: fmt.Sprintf("queue-%04d", i), Pool: "alpha", Public: i%100 == 0})
	}
	for i := range 770 {
		keys := []string{fmt.Sprintf("key-%04d-0123456789abcdef0123456789abcdef", i), fmt.Sprintf("new-%04d-0123456789abcdef0123456789abcdef", i)}
		config.Accounts = append(config.Accounts, emul.Account{Name: fmt.Sprintf("account-%04d", i), Keys: keys, Weight: float64(i % 180), Limit: emul.Resources{CPU: 115_000 * i}})
	}
	c.awaitContact()
	c.emulator.CutOff("entry-2")
	assert.NilError(t, c.emulator.Publish(config))
	c.awaitVersion(5, 0, 1, 2)
	for i := range c.nodes {
		c.awaitStatus(http.StatusGone, i, config.Accounts[769].Keys[1], http.MethodGet, "/queue-1399/00000000000000a1", "")
		c.awaitStatus(http.StatusUnauthorized, i, "key-0770", http.MethodGet, "/queue-1399/00000000000000a1", "")
	}
}
