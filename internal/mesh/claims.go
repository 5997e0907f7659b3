package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/internal/event"
	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/proxy"
	"github.com/greengagelane/greengagelane/pkg/conf"
	"github.com/greengagelane/greengagelane/pkg/fleet"
	"github.com/greengagelane/greengagelane/pkg/result"
)

const (
	grantValid   = 1 * time.Second // from the first ask; shorter than the freshness time
	claimLimit   = 700 * time.Millisecond
	claimPause   = 20 * time.Millisecond
	askLimit     = 100 * time.Millisecond // a holder that has not answered by then is passed over
	claimRetry   = 1 * time.Second        // when a refused caller comes back
	transferWait = 10 * time.Second
)

type releaseCall struct {
	Key   string
	Token uint64
}

type empty struct{}

type transferAnswer struct{ Taken bool }

type outcomeCall struct{ Key string }

// Claim gets the grants of most holders of a key, or learns what became of
// another copy. It implements proxy.Claimer.
func (m *Mesh) Claim(ctx context.Context, key string) (*proxy.Grant, *claim.SavedResponse, *result.Problem) {
	began := time.Now()
	a := claim.GrantRequest{Key: key, Owner: m.self.Incarnation, Token: m.token.Add(1)}
	if !m.outcomes.Begin(began, key, a.Token) {
		return m.copyOf(ctx, key, m.self.Incarnation)
	}
	reply, owner := m.gather(ctx, began, a)
	if reply == claim.Granted {
		return m.grant(began, a), nil, nil
	}
	m.events.Add(time.Now(), m.store.Next(), event.Claim, key, reply.String())
	if reply == claim.Taken {
		m.releaseAll(a)
		_, saved, p := m.copyOf(ctx, key, owner)
		m.outcomes.Resolve(key, saved, p)
		return nil, saved, p
	}
	p := m.refuse(ctx, a, reply)
	m.outcomes.Resolve(key, nil, p)
	return nil, nil, p
}

// refuse answers a request that did not get its grants. If so many holders have
// granted the claim that no other copy can have had most of them, the request did
// not run; else an earlier copy may have.
func (m *Mesh) refuse(ctx context.Context, a claim.GrantRequest, reply claim.Reply) *result.Problem {
	alone := m.holdsOthersOff(ctx, a)
	m.releaseAll(a)
	switch {
	case reply == claim.Lost:
		return result.Unknown(http.StatusConflict, "the entries that knew whether request id %q has run are gone", a.Key)
	case alone:
		return result.Refuse(http.StatusServiceUnavailable, claimRetry, "a holder of request id %q does not answer (%s)", a.Key, reply)
	}
	return result.Unknown(http.StatusServiceUnavailable, "the holders of request id %q do not answer (%s)", a.Key, reply)
}

func (m *Mesh) holdsOthersOff(ctx context.Context, a claim.GrantRequest) bool {
	ctx = context.WithoutCancel(ctx)
	view, members := m.members()
	a.View = view
	holders := claim.Holders(members, a.Key)
	granted := 0
	for _, holder := range holders {
		if m.askOne(ctx, holder, a).Reply == claim.Granted {
			granted++
		}
	}
	return len(holders) > 0 && len(holders)-granted < claim.Quorum(len(holders))
}

func (m *Mesh) grant(began time.Time, a claim.GrantRequest) *proxy.Grant {
	g := &proxy.Grant{
		ValidUntil: began.Add(grantValid),
		Release: func() {
			m.outcomes.Abandon(a.Key)
			m.releaseAll(a)
		},
		Finish: func(s *claim.SavedResponse) { m.outcomes.Finish(a.Key, s) },
	}
	g.Renew = func(ctx context.Context) bool {
		again := time.Now()
		reply, _ := m.gather(ctx, again, a)
		g.ValidUntil = again.Add(grantValid)
		return reply == claim.Granted
	}
	return g
}

// gather asks the holders one after the other, always in the same order, so that
// of two copies one gets its grants. It asks again while there are too few.
func (m *Mesh) gather(ctx context.Context, began time.Time, a claim.GrantRequest) (claim.Reply, string) {
	ctx, cancel := context.WithDeadline(ctx, began.Add(claimLimit))
	defer cancel()
	for {
		reply, owner := m.askAll(ctx, a)
		if reply == claim.Granted || reply == claim.Taken || reply == claim.Lost {
			return reply, owner
		}
		select {
		case <-time.After(claimPause):
		case <-ctx.Done():
			return reply, ""
		}
	}
}

// askAll returns Granted once most holders have granted the claim in one view,
// Taken as soon as one names another copy, and else the last other reply.
func (m *Mesh) askAll(ctx context.Context, a claim.GrantRequest) (claim.Reply, string) {
	view, members := m.members()
	a.View = view
	holders := claim.Holders(members, a.Key)
	granted, other := 0, claim.Stale
	for _, holder := range holders {
		ans := m.askOne(ctx, holder, a)
		switch ans.Reply {
		case claim.Granted:
			if granted++; granted == claim.Quorum(len(holders)) {
				return claim.Granted, ""
			}
		case claim.Taken:
			return claim.Taken, ans.Owner
		default:
			other = ans.Reply
		}
	}
	return other, ""
}

func (m *Mesh) askOne(ctx context.Context, holder fleet.Member, a claim.GrantRequest) claim.GrantResponse {
	if holder.Incarnation == m.self.Incarnation {
		return m.decide(a)
	}
	if m.isSilent(holder) {
		return claim.GrantResponse{Reply: claim.Stale}
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	ans, err := peer.Call[claim.GrantRequest, claim.GrantResponse](ctx, m.clientFor(holder.Address), "ask", &a)
	if err != nil {
		return claim.GrantResponse{Reply: claim.Stale}
	}
	return *ans
}

// isSilent reports whether a peer that was heard once has shown nothing since.
func (m *Mesh) isSilent(p fleet.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, at := m.evidence.Last(p.Incarnation)
	return !at.IsZero() && time.Since(at) > conf.Ms(m.set.FreshForMs)
}

func (m *Mesh) decide(a claim.GrantRequest) claim.GrantResponse {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.RequestGrant(now, a, now.UnixNano() < m.majorityUntil.Load())
}

func (m *Mesh) onAsk(_ context.Context, from string, a *claim.GrantRequest) (*claim.GrantResponse, error) {
	a.Owner = from
	ans := m.decide(*a)
	return &ans, nil
}

// releaseAll frees a claim whose request did not run. A release that is lost only
// makes the id wait for its retention.
func (m *Mesh) releaseAll(a claim.GrantRequest) {
	_, members := m.members()
	for _, holder := range claim.Holders(members, a.Key) {
		if holder.Incarnation == m.self.Incarnation {
			m.release(a.Key, a.Owner, a.Token)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), callLimit)
			defer cancel()
			call := &releaseCall{Key: a.Key, Token: a.Token}
			_, _ = peer.Call[releaseCall, empty](ctx, m.clientFor(holder.Address), "release", call)
		}()
	}
}

func (m *Mesh) release(key, owner string, token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Release(key, owner, token)
}

func (m *Mesh) onRelease(_ context.Context, from string, r *releaseCall) (*empty, error) {
	m.release(r.Key, from, r.Token)
	return &empty{}, nil
}

// copyOf answers a copy of a request from the entry that owns the first copy.
func (m *Mesh) copyOf(ctx context.Context, key, owner string) (*proxy.Grant, *claim.SavedResponse, *result.Problem) {
	res := m.askOutcome(ctx, key, owner)
	switch {
	case res == nil || !res.Known:
		return nil, nil, result.Unknown(http.StatusConflict, "another copy of request id %q was sent by an entry that does not answer", key)
	case res.Free:
		return nil, nil, result.Refuse(http.StatusServiceUnavailable, claimRetry, "another copy of request id %q was refused", key)
	case res.Problem != nil:
		return nil, nil, res.Problem
	case res.Saved == nil:
		return nil, nil, result.Unknown(http.StatusConflict, "another copy of request id %q may have run; its answer is not kept", key)
	}
	return nil, res.Saved, nil
}

func (m *Mesh) askOutcome(ctx context.Context, key, owner string) *claim.Result {
	if owner == m.self.Incarnation {
		return m.awaitOutcome(ctx, key)
	}
	address := m.addressOf(owner)
	if address == "" {
		return nil
	}
	res, err := peer.Call[outcomeCall, claim.Result](ctx, m.clientFor(address), "outcome", &outcomeCall{Key: key})
	if err != nil {
		return nil
	}
	return res
}

func (m *Mesh) addressOf(incarnation string) string {
	_, members := m.members()
	for _, p := range members {
		if p.Incarnation == incarnation {
			return p.Address
		}
	}
	return ""
}

func (m *Mesh) onOutcome(ctx context.Context, _ string, c *outcomeCall) (*claim.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, maxOutcomeWait)
	defer cancel()
	return m.awaitOutcome(ctx, c.Key), nil
}

// awaitOutcome waits for this entry's own copy. A claim that is still held for a
// request that did not run is released once more.
func (m *Mesh) awaitOutcome(ctx context.Context, key string) *claim.Result {
	res := m.outcomes.Wait(ctx, key)
	if res.Free {
		m.releaseAll(claim.GrantRequest{Key: key, Owner: m.self.Incarnation, Token: res.Token})
	}
	return &res
}

// maxOutcomeWait is the longest deadline of a request.
const maxOutcomeWait = 60 * time.Second

// sendTransfer hands the claims over to a member of this view. One transfer at a
// time is on its way to a member, on a connection of its own.
func (m *Mesh) sendTransfer(ctx context.Context, address, incarnation string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferWait)
	defer cancel()
	c := m.clientIn(m.bulk, address)
	m.mu.Lock()
	tr := m.table.Transfer()
	m.mu.Unlock()
	res, err := peer.Call[claim.Transfer, transferAnswer](ctx, c, "transfer", tr)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sending, incarnation)
	if err == nil && res.Taken && m.table.View() == tr.View {
		delete(m.unsent, incarnation)
	}
}

func (m *Mesh) onTransfer(_ context.Context, from string, tr *claim.Transfer) (*transferAnswer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &transferAnswer{Taken: m.table.Merge(from, tr)}, nil
}
