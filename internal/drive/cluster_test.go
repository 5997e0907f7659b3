package drive

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// cluster is an emulated platform with running entries.
type cluster struct {
	t        *testing.T
	emulator *emul.Platform
	nodes    []*Node
	cancels  []context.CancelFunc
	done     []chan struct{}
	adjust   func(*site.Bounds) // changes the settings of entries; nil for no change
	prepare  func(*Node)        // changes an entry before it runs; nil for no change
}

// newCluster starts an emulated platform, with the given number of machines by pool, and entries,
// and waits until all entries are ready. Configuration 3 assigns queue q to pool alpha.
func newCluster(t *testing.T, entries int, pools map[string]int) *cluster {
	t.Helper()
	return newAdjustedCluster(t, entries, pools, nil)
}

// newAdjustedCluster is newCluster with changed settings of the entries.
func newAdjustedCluster(t *testing.T, entries int, pools map[string]int, adjust func(*site.Bounds)) *cluster {
	t.Helper()
	emulator, err := emul.NewPlatform(pools, 300*time.Millisecond)
	assert.NilError(t, err)
	return newClusterOn(t, emulator, entries, adjust)
}

// newClusterOn is newAdjustedCluster on a given platform.
func newClusterOn(t *testing.T, emulator *emul.Platform, entries int, adjust func(*site.Bounds)) *cluster {
	t.Helper()
	if testLog != nil {
		logrus.SetOutput(testLog)
	} else {
		logrus.SetOutput(io.Discard)
	}
	c := &cluster{t: t, emulator: emulator, adjust: adjust}
	assert.NilError(t, emulator.Configure(3, "alpha", "alpha"))
	for i := range entries {
		c.startEntry(i)
	}
	t.Cleanup(func() {
		for i := range c.nodes {
			c.kill(i)
		}
		emulator.Close()
	})
	for i := range c.nodes {
		c.await("entry ready", c.nodes[i].Ready)
	}
	c.await("all partitions owned", func() bool { return c.ownedPartitions() == partitions })
	return c
}

// ownedPartitions returns the number of partitions that an entry owns and has loaded.
func (c *cluster) ownedPartitions() int {
	owned := 0
	for p := range partitions {
		for _, n := range c.nodes {
			if part := n.lookupPartition(p); part != nil && part.isLoaded() {
				owned++
				break
			}
		}
	}
	return owned
}

func (c *cluster) startEntry(i int) {
	c.t.Helper()
	ports, err := emul.FreePorts(4)
	assert.NilError(c.t, err)
	name := fmt.Sprintf("entry-%d", i)
	logAddress, err := c.emulator.LogAddress(name)
	assert.NilError(c.t, err)
	set := &site.Settings{
		Entry: name, IP: "127.0.0.1", Ports: ports[:2],
		Callers: fmt.Sprintf("127.0.0.1:%d", ports[2]), Ready: fmt.Sprintf("127.0.0.1:%d", ports[3]),
		Log:   site.LogSettings{Address: logAddress, Partitions: partitions, RecordBytes: emul.MaxRecordBytes, CallBytes: emul.MaxCallBytes, MinTTLMS: 1000},
		Fleet: site.FleetSettings{Address: c.emulator.FleetAddr}, Cores: 1,
		Bounds: site.Bounds{HoldMS: 10000, StopGraceMS: 400, ShutdownGraceS: 6, KeepFinalS: 120, MoveS: 0.2, TurnMS: 300},
	}
	if c.adjust != nil {
		c.adjust(&set.Bounds)
	}
	c.nodes, c.cancels, c.done = append(c.nodes, nil), append(c.cancels, nil), append(c.done, nil)
	c.run(len(c.nodes)-1, set)
}

// run runs an entry with the given settings.
func (c *cluster) run(i int, set *site.Settings) {
	n := New(set)
	if c.prepare != nil {
		c.prepare(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c.nodes[i], c.cancels[i], c.done[i] = n, cancel, done
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil && !errors.Is(err, errAborted) {
			c.t.Errorf("entry %d ended: %v", i, err)
		}
	}()
}

// restart stops an entry as SIGTERM does and starts it again under its addresses.
func (c *cluster) restart(i int) {
	c.cancels[i]()
	<-c.done[i]
	c.run(i, c.nodes[i].settings)
}

// kill aborts an entry without a handover and waits for its end.
func (c *cluster) kill(i int) {
	c.nodes[i].abort()
	<-c.done[i]
}

// await waits until ok returns true and fails the test after testTimeout.
func (c *cluster) await(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("%s: not within %s", what, testTimeout)
}

// call sends a caller's request to an entry. The status is 0 if it fails.
func (c *cluster) call(entry int, method, path, body string) (int, string) {
	return c.callWithKey(entry, "", method, path, body)
}

// callWithKey sends a caller's request with a client account's key to an entry. The status is 0 if it
// fails.
func (c *cluster) callWithKey(entry int, key, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+c.nodes[entry].settings.Callers+path, bytes.NewReader([]byte(body)))
	assert.NilError(c.t, err)
	req.Host = "h.example"
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(data)
}

// state returns a job's state as shown to callers, or the HTTP status if the request fails.
func (c *cluster) state(entry int, id string) string {
	status, body := c.call(entry, http.MethodGet, "/q/"+id, "")
	var s struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &s) != nil {
		return fmt.Sprint(status)
	}
	return s.State
}

// submit sends a job until it is accepted, as callers do.
func (c *cluster) submit(entry int, id, body string) {
	c.t.Helper()
	c.await("job "+id+" accepted", func() bool {
		status, _ := c.call(entry, http.MethodPost, "/q/"+id, body)
		return status == http.StatusOK
	})
}

// awaitCompleted waits until the jobs are completed and checks that no invariant was violated.
func (c *cluster) awaitCompleted(entry int, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		c.await("job "+id+" completed", func() bool { return c.state(entry, id) == "completed" })
	}
	assert.Equal(c.t, c.emulator.Ledger.FirstViolation(), "")
}

// owner returns the index of the entry that owns the partition of pool alpha.
func (c *cluster) owner() int {
	c.t.Helper()
	found := -1
	c.await("an owner", func() bool {
		for i, n := range c.nodes {
			if part := n.lookupPartition(n.partitionOf("alpha")); part != nil {
				select {
				case <-part.loaded:
					found = i
					return true
				default:
				}
			}
		}
		return false
	})
	return found
}

func jobIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i+1)
	}
	return ids
}

// epochs returns the epochs of the latest claims that the entries know, by partition.
func (c *cluster) epochs() map[int]int64 {
	epochs := map[int]int64{}
	for _, n := range c.nodes {
		for p, claim := range n.owners.claims() {
			epochs[p] = max(epochs[p], claim.Epoch)
		}
	}
	return epochs
}
