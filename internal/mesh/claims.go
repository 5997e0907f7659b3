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
	grantValidity   = 1 * time.Second        // from the first request for the grants; must be shorter than the freshness time
	claimTimeout    = 700 * time.Millisecond // of gathering the grants, retries included
	gatherInterval  = 20 * time.Millisecond  // between two attempts to gather the grants
	holderTimeout   = 100 * time.Millisecond // a holder that has not replied by then counts as stale
	claimRetryAfter = 1 * time.Second        // Retry-After of a refused request
	transferTimeout = 10 * time.Second
	maxClaims       = 20 // of a copy whose earlier ones were refused
)

type releaseRequest struct {
	Key   string
	Token uint64
}

type empty struct{}

// transferResponse is the reply to a transfer. Taken reports whether the receiver has
// merged the claims; it is not related to claim.Taken.
type transferResponse struct{ Taken bool }

type outcomeRequest struct{ Key string }

// otherCopyRefused is the refusal of a copy that has waited for another one, which was refused. A further copy
// may have run since.
var otherCopyRefused = &proxy.Refusal{Problem: result.Unknown(http.StatusServiceUnavailable, "another copy of the request was refused")}

// Claim collects the grants of a majority of the key's holders and returns a grant to
// dispatch the request. If another copy of the request holds the claim, it waits for the
// outcome of that copy and returns its response; if that copy was refused, it claims the key
// anew. Otherwise it returns a refusal. It implements proxy.Claimer.
func (m *Mesh) Claim(ctx context.Context, key string) (*proxy.Grant, *claim.SavedResponse, *proxy.Refusal) {
	for n := 1; ; n++ {
		grant, saved, refusal := m.claimOnce(ctx, key)
		if refusal != otherCopyRefused || n == maxClaims {
			return grant, saved, refusal
		}
		select {
		case <-time.After(gatherInterval):
		case <-ctx.Done():
			return nil, nil, refusal
		}
	}
}

// claimOnce claims a key once. It returns otherCopyRefused if the key was claimed by a copy that was refused.
func (m *Mesh) claimOnce(ctx context.Context, key string) (*proxy.Grant, *claim.SavedResponse, *proxy.Refusal) {
	start := time.Now()
	req := claim.GrantRequest{Key: key, Owner: m.self.Incarnation, Token: m.lastToken.Add(1)}
	if !m.outcomes.Begin(start, key, req.Token) {
		saved, refusal := m.firstCopyResult(ctx, key, m.self.Incarnation)
		return nil, saved, refusal
	}
	reply, owner := m.gatherGrants(ctx, start, req)
	if reply == claim.Granted {
		return m.grant(start, req), nil, nil
	}
	m.events.Add(time.Now(), m.store.Next(), event.Claim, key, reply.String())
	if reply != claim.Taken {
		return nil, nil, m.refuse(ctx, req, reply)
	}
	m.releaseAll(req)
	saved, refusal := m.firstCopyResult(ctx, key, owner)
	switch {
	case refusal == nil:
		m.outcomes.Resolve(key, saved, nil)
	case refusal == otherCopyRefused:
		m.outcomes.Abandon(key)
	default:
		m.outcomes.Resolve(key, nil, refusal.Problem)
	}
	return nil, saved, refusal
}

// refuse returns the refusal of a request that did not get its grants. If enough holders have
// granted this claim to deny every other copy a majority, the problem says that the request did
// not run, and the claim stays until that is sent. Otherwise the claim is released, and the problem
// says that another copy may have run.
func (m *Mesh) refuse(ctx context.Context, req claim.GrantRequest, reply claim.Reply) *proxy.Refusal {
	if m.blocksOtherCopies(ctx, req) && reply != claim.Lost {
		return &proxy.Refusal{
			Problem: result.Refuse(http.StatusServiceUnavailable, claimRetryAfter, "too few holders granted request id %q (%s)", req.Key, reply),
			Release: func() { m.abandon(req) },
		}
	}
	m.releaseAll(req)
	p := result.Unknown(http.StatusServiceUnavailable, "too few holders granted request id %q (%s); another copy may have run", req.Key, reply)
	if reply == claim.Lost {
		p = result.Unknown(http.StatusConflict, "the entries that knew whether request id %q has run are gone", req.Key)
	}
	m.outcomes.Resolve(req.Key, nil, p)
	return &proxy.Refusal{Problem: p}
}

// abandon lets other copies of a request run, after a caller has been told that it did not.
func (m *Mesh) abandon(req claim.GrantRequest) {
	m.outcomes.Abandon(req.Key)
	m.releaseAll(req)
}

// blocksOtherCopies asks all holders once more, and reports whether enough of them grant
// this claim to deny every other copy a majority.
func (m *Mesh) blocksOtherCopies(ctx context.Context, req claim.GrantRequest) bool {
	ctx = context.WithoutCancel(ctx) // the request's context may have ended
	view, members := m.members()
	req.View = view
	holders := claim.Holders(members, req.Key)
	granted := 0
	for _, holder := range holders {
		if m.requestGrant(ctx, holder, req).Reply == claim.Granted {
			granted++
		}
	}
	return len(holders) > 0 && len(holders)-granted < claim.Quorum(len(holders))
}

// grant returns the grant for a claim, valid for grantValidity from start, which is when
// its grants were first requested.
func (m *Mesh) grant(start time.Time, req claim.GrantRequest) *proxy.Grant {
	g := &proxy.Grant{
		ValidUntil: start.Add(grantValidity),
		Release:    func() { m.abandon(req) },
		Finish:     func(s *claim.SavedResponse) { m.outcomes.Finish(req.Key, s) },
	}
	g.Renew = func(ctx context.Context) bool {
		renewStart := time.Now()
		reply, _ := m.gatherGrants(ctx, renewStart, req)
		g.ValidUntil = renewStart.Add(grantValidity)
		return reply == claim.Granted
	}
	return g
}

// gatherGrants asks the holders one after the other, always in the same order, so that
// one of two competing copies gets its grants. It retries until claimTimeout has passed,
// unless the reply is final: Granted, Taken or Lost.
func (m *Mesh) gatherGrants(ctx context.Context, start time.Time, req claim.GrantRequest) (claim.Reply, string) {
	ctx, cancel := context.WithDeadline(ctx, start.Add(claimTimeout))
	defer cancel()
	for {
		reply, owner := m.requestGrants(ctx, req)
		if reply == claim.Granted || reply == claim.Taken || reply == claim.Lost {
			return reply, owner
		}
		select {
		case <-time.After(gatherInterval):
		case <-ctx.Done():
			return reply, ""
		}
	}
}

// requestGrants asks each holder once. All grants of a majority must belong to one view, so
// it reads the view at the start and sends it to every holder. It returns Granted once a
// majority has granted the claim, Taken and the owner as soon as a holder has granted it to
// another copy, and otherwise the last reply other than Granted.
func (m *Mesh) requestGrants(ctx context.Context, req claim.GrantRequest) (claim.Reply, string) {
	view, members := m.members()
	req.View = view
	holders := claim.Holders(members, req.Key)
	granted, other := 0, claim.Stale
	for _, holder := range holders {
		resp := m.requestGrant(ctx, holder, req)
		switch resp.Reply {
		case claim.Granted:
			if granted++; granted == claim.Quorum(len(holders)) {
				return claim.Granted, ""
			}
		case claim.Taken:
			return claim.Taken, resp.Owner
		default:
			other = resp.Reply
		}
	}
	return other, ""
}

// requestGrant asks one holder. A holder that is unresponsive or fails to reply in time
// counts as Stale.
func (m *Mesh) requestGrant(ctx context.Context, holder fleet.Member, req claim.GrantRequest) claim.GrantResponse {
	if holder.Incarnation == m.self.Incarnation {
		return m.decideGrant(req)
	}
	if m.isUnresponsive(holder) {
		return claim.GrantResponse{Reply: claim.Stale}
	}
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	resp, err := peer.Call[claim.GrantRequest, claim.GrantResponse](ctx, m.clientFor(holder.Address), "ask", &req)
	if err != nil {
		return claim.GrantResponse{Reply: claim.Stale}
	}
	return *resp
}

// isUnresponsive reports whether a peer's last reply to a heartbeat call is older than the
// freshness time. Unlike PeerTracker.Silent, it is false for a peer that has never replied.
func (m *Mesh) isUnresponsive(p fleet.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, at := m.peers.LastHeartbeat(p.Incarnation)
	return !at.IsZero() && time.Since(at) > conf.Ms(m.cfg.FreshForMs)
}

// decideGrant decides on a request as one of the key's holders.
func (m *Mesh) decideGrant(req claim.GrantRequest) claim.GrantResponse {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.RequestGrant(now, req, now.UnixNano() < m.grantUntil.Load())
}

func (m *Mesh) handleGrantRequest(_ context.Context, from string, req *claim.GrantRequest) (*claim.GrantResponse, error) {
	req.Owner = from
	resp := m.decideGrant(*req)
	return &resp, nil
}

// releaseAll releases a claim at all its holders, after its request did not run. If a
// release is lost, the id stays claimed at that holder until its retention has passed.
func (m *Mesh) releaseAll(req claim.GrantRequest) {
	_, members := m.members()
	for _, holder := range claim.Holders(members, req.Key) {
		if holder.Incarnation == m.self.Incarnation {
			m.release(req.Key, req.Owner, req.Token)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			call := &releaseRequest{Key: req.Key, Token: req.Token}
			_, _ = peer.Call[releaseRequest, empty](ctx, m.clientFor(holder.Address), "release", call)
		}()
	}
}

func (m *Mesh) release(key, owner string, token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Release(key, owner, token)
}

func (m *Mesh) handleRelease(_ context.Context, from string, r *releaseRequest) (*empty, error) {
	m.release(r.Key, from, r.Token)
	return &empty{}, nil
}

// firstCopyResult gets the outcome of the first copy of a request from the entry that owns
// it, and converts it into the response or refusal for another copy.
func (m *Mesh) firstCopyResult(ctx context.Context, key, owner string) (*claim.SavedResponse, *proxy.Refusal) {
	unknown := func(format string) (*claim.SavedResponse, *proxy.Refusal) {
		return nil, &proxy.Refusal{Problem: result.Unknown(http.StatusConflict, format, key)}
	}
	res := m.fetchOutcome(ctx, key, owner)
	switch {
	case res == nil || !res.Known:
		return unknown("another copy of request id %q is claimed by an entry that does not answer")
	case res.Free, res.Problem != nil && res.Problem.Verdict == result.NotRun:
		return nil, otherCopyRefused
	case res.Problem != nil:
		return nil, &proxy.Refusal{Problem: res.Problem}
	case res.Saved == nil:
		return unknown("another copy of request id %q may have run; its response is not kept")
	}
	return res.Saved, nil
}

// fetchOutcome waits for the outcome of a request on the entry that owns its claim. It
// returns nil if that entry does not respond.
func (m *Mesh) fetchOutcome(ctx context.Context, key, owner string) *claim.Result {
	if owner == m.self.Incarnation {
		return m.awaitOutcome(ctx, key)
	}
	address := m.addressOf(owner)
	if address == "" {
		return nil
	}
	res, err := peer.Call[outcomeRequest, claim.Result](ctx, m.clientFor(address), "outcome", &outcomeRequest{Key: key})
	if err != nil {
		return nil
	}
	return res
}

// addressOf returns the address of a member, or "" if the incarnation is not a member.
func (m *Mesh) addressOf(incarnation string) string {
	_, members := m.members()
	for _, p := range members {
		if p.Incarnation == incarnation {
			return p.Address
		}
	}
	return ""
}

func (m *Mesh) handleOutcome(ctx context.Context, _ string, c *outcomeRequest) (*claim.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, maxOutcomeWait)
	defer cancel()
	return m.awaitOutcome(ctx, c.Key), nil
}

// awaitOutcome waits for the outcome of a request that this entry owns. If the request
// did not run, it releases the claim once more, since an earlier release may be lost.
func (m *Mesh) awaitOutcome(ctx context.Context, key string) *claim.Result {
	res := m.outcomes.Wait(ctx, key)
	if res.Free {
		m.releaseAll(claim.GrantRequest{Key: key, Owner: m.self.Incarnation, Token: res.Token})
	}
	return &res
}

// maxOutcomeWait bounds the wait for an outcome. It equals the longest request timeout that
// callers and release notes may set, since the first copy may run that long.
const maxOutcomeWait = 60 * time.Second

// sendTransfer sends this entry's claims to a member of its view, on a separate
// connection. It has its own timeout, since the context of the heartbeat call that starts
// it may end before the transfer does. The caller has set transferActive for the member, so
// that only one transfer to it is under way at a time; sendTransfer clears it.
func (m *Mesh) sendTransfer(ctx context.Context, address, incarnation string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferTimeout)
	defer cancel()
	c := m.clientIn(m.transferClients, address)
	m.mu.Lock()
	tr := m.table.Transfer()
	m.mu.Unlock()
	res, err := peer.Call[claim.Transfer, transferResponse](ctx, c, "transfer", tr)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.transferActive, incarnation)
	if err == nil && res.Taken && m.table.View() == tr.View {
		delete(m.transferPending, incarnation)
	}
}

func (m *Mesh) handleTransfer(_ context.Context, from string, tr *claim.Transfer) (*transferResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &transferResponse{Taken: m.table.Merge(from, tr)}, nil
}
