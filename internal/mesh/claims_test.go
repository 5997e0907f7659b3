package mesh

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/internal/event"
	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/proxy"
	"github.com/greengagelane/greengagelane/internal/tail"
	"github.com/greengagelane/greengagelane/pkg/conf"
	"github.com/greengagelane/greengagelane/pkg/fleet"
	"github.com/greengagelane/greengagelane/pkg/result"
)

// group is a set of meshes connected over loopback. They share one view, have merged
// each other's transfers, and have no connection to a log.
type group struct {
	meshes    []*Mesh
	servers   []*peer.Server
	listeners []net.Listener
}

func newGroup(t *testing.T, n int) *group {
	t.Helper()
	g := &group{}
	var records []fleet.LogRecord
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		name := fmt.Sprintf("e%d", i)
		self := fleet.Member{Name: name, Incarnation: name, Address: ln.Addr().String(), DataCentre: name}
		data, err := fleet.Encode(fleet.EntryJoined{Member: self})
		assert.NilError(t, err)
		records = append(records, fleet.LogRecord{Offset: int64(i), OperationID: name, Data: data})
		m := New(self, conf.Default(), tail.NewStore(nil), nil, func() Load { return Load{} }, event.NewRing(16), func() string { return "" })
		s := peer.NewServer(func() []string { return nil })
		m.Register(s)
		go func() { _ = s.Serve(t.Context(), ln) }()
		t.Cleanup(func() {
			ln.Close()
			s.Close()
		})
		g.meshes, g.servers, g.listeners = append(g.meshes, m), append(g.servers, s), append(g.listeners, ln)
	}
	for _, m := range g.meshes {
		m.store.Apply(records)
		m.applyView(time.Now())
		m.grantUntil.Store(math.MaxInt64) // claims are granted without heartbeats
	}
	for _, m := range g.meshes {
		for _, other := range g.meshes {
			other.table.Merge(m.self.Incarnation, m.table.Transfer())
		}
	}
	return g
}

func (g *group) kill(i int) {
	g.listeners[i].Close()
	g.servers[i].Close()
}

// keyFor returns a key with the given first and second holders.
func (g *group) keyFor(first, second int) string {
	_, members := g.meshes[0].members()
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		h := claim.Holders(members, key)
		if h[0].Name == g.meshes[first].self.Name && h[1].Name == g.meshes[second].self.Name {
			return key
		}
	}
}

// TestClaimWhenHoldersAreGone guards against a claim that fails although a majority of
// holders answers, and against a wrong verdict on a request that gets no majority. Of two
// entries, the claiming one grants the id itself, which denies every other copy a majority,
// so its request has not run.
func TestClaimWhenHoldersAreGone(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		killed  []int // indexes; the last entry claims
		granted bool
		verdict result.Verdict
	}{
		{"all holders answer", 4, nil, true, 0},
		{"the first is gone", 4, []int{0}, true, 0},
		{"the second is gone", 4, []int{1}, true, 0},
		{"two are gone, so an earlier copy may have run", 4, []int{0, 1}, false, result.MayHaveRun},
		{"one of two entries is gone, and the other knows", 2, []int{0}, false, result.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGroup(t, tt.entries)
			for _, i := range tt.killed {
				g.kill(i)
			}
			grant, _, p := g.meshes[tt.entries-1].Claim(t.Context(), g.keyFor(0, 1))
			assert.Equal(t, grant != nil, tt.granted)
			if !tt.granted {
				assert.Equal(t, p.Verdict, tt.verdict, p.Title)
				assert.Assert(t, p.RetryAfter > 0)
			}
		})
	}
}

// TestCopiesGetTheFirstAnswer guards against copies that run, or get an error, while the
// first copy of the request is still running on the same or another entry.
func TestCopiesGetTheFirstAnswer(t *testing.T) {
	g := newGroup(t, 4)
	key := g.keyFor(0, 1)
	grant, _, p := g.meshes[2].Claim(t.Context(), key)
	assert.Assert(t, grant != nil, "%v", p)
	type answer struct {
		saved *claim.SavedResponse
		p     *proxy.Refusal
	}
	answers := make(chan answer, 4)
	for _, i := range []int{2, 3, 3, 3} { // one on the same entry, three on another
		go func() {
			_, saved, p := g.meshes[i].Claim(t.Context(), key)
			answers <- answer{saved, p}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	grant.Finish(&claim.SavedResponse{Status: 200, Body: []byte("licence")})
	for range 4 {
		a := <-answers
		assert.Assert(t, a.saved != nil, "%v", a.p)
		assert.Equal(t, string(a.saved.Body), "licence")
	}
}

// TestCopyOfAnUnansweredRequestIsUncertain guards against a caller being told that its
// request has not run, although the entry that claimed the first copy was killed and may
// have run it.
func TestCopyOfAnUnansweredRequestIsUncertain(t *testing.T) {
	g := newGroup(t, 4)
	key := g.keyFor(0, 1)
	grant, _, _ := g.meshes[2].Claim(t.Context(), key)
	assert.Assert(t, grant != nil)
	g.kill(2)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	for range 2 {
		_, saved, p := g.meshes[3].Claim(ctx, key)
		assert.Assert(t, saved == nil)
		assert.Equal(t, p.Verdict, result.MayHaveRun)
	}
}

// TestReleasedRequestMayRunElsewhere guards against an id that stays claimed after the
// claim was released.
func TestReleasedRequestMayRunElsewhere(t *testing.T) {
	g := newGroup(t, 4)
	key := g.keyFor(0, 1)
	grant, _, _ := g.meshes[2].Claim(t.Context(), key)
	assert.Assert(t, grant != nil)
	grant.Release()
	for range 100 {
		grant, _, p := g.meshes[3].Claim(t.Context(), key)
		if grant != nil {
			return
		}
		assert.Equal(t, p.Verdict, result.NotRun, p.Title)
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the id is still claimed after its release")
}

// TestRefusedClaimIsHeldUntilReleased guards against a caller that is told that its request has not run while another
// copy runs: until the caller has the answer, the claim has to keep other copies from running.
func TestRefusedClaimIsHeldUntilReleased(t *testing.T) {
	g := newGroup(t, 2)
	g.kill(0)
	m := g.meshes[1]
	claims := func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.table.Len()
	}
	key := g.keyFor(0, 1)
	_, _, refusal := m.Claim(t.Context(), key)
	assert.Equal(t, refusal.Verdict, result.NotRun)
	assert.Equal(t, claims(), 1, "another copy could run before the caller knows that none has")
	second := make(chan *proxy.Refusal)
	go func() {
		_, _, r := m.Claim(t.Context(), key)
		second <- r
	}()
	select {
	case <-second:
		t.Fatal("a second copy got an answer while the first one was still being refused")
	case <-time.After(50 * time.Millisecond):
	}
	refusal.Release()
	r := <-second
	assert.Equal(t, r.Verdict, result.NotRun)
	assert.Equal(t, claims(), 1, "the second copy must hold a claim of its own to say that none has run")
	r.Release()
	assert.Equal(t, claims(), 0)
}

// TestCopyOfRefusedRequestMayRun guards against a copy that repeats the refusal of the copy it has waited for:
// the claim is free by then, so a third copy may already run.
func TestCopyOfRefusedRequestMayRun(t *testing.T) {
	for _, second := range []int{2, 3} { // the entry of the first copy, and another one
		g := newGroup(t, 4)
		key := g.keyFor(0, 1)
		first, _, p := g.meshes[2].Claim(t.Context(), key)
		assert.Assert(t, first != nil, "%v", p)
		grants := make(chan *proxy.Grant)
		go func() {
			grant, _, _ := g.meshes[second].Claim(t.Context(), key)
			grants <- grant
		}()
		time.Sleep(50 * time.Millisecond)
		first.Release()
		assert.Assert(t, <-grants != nil, "entry %d", second)
	}
}

// TestOneTransferAtATime guards against parallel transfers to one member, which
// start if every heartbeat reply during a slow transfer starts another one.
func TestOneTransferAtATime(t *testing.T) {
	g := newGroup(t, 2)
	var activeTransfers, maxTransfers atomic.Int32
	release := make(chan struct{})
	s := peer.NewServer(func() []string { return nil })
	peer.Handle(s, "beat", g.meshes[1].handleHeartbeat)
	peer.Handle(s, "transfer", func(context.Context, string, *claim.Transfer) (*transferResponse, error) {
		maxTransfers.Store(max(maxTransfers.Load(), activeTransfers.Add(1)))
		<-release
		activeTransfers.Add(-1)
		return &transferResponse{Taken: true}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer s.Close()
	defer ln.Close()
	go func() { _ = s.Serve(t.Context(), ln) }()
	c := peer.NewClient(ln.Addr().String(), "e0", func() string { return "" })
	var sent sync.WaitGroup
	for range 5 {
		sent.Add(1)
		go func() {
			defer sent.Done()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			g.meshes[0].sendHeartbeat(ctx, c)
		}()
	}
	sent.Wait()
	for activeTransfers.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	assert.Equal(t, maxTransfers.Load(), int32(1))
	for g.meshes[0].pendingTransfers() > 0 {
		time.Sleep(time.Millisecond)
	}
}
