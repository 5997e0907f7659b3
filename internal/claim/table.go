package claim

import (
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

//go:generate ../../.bin/enumer -type=Reply -transform=kebab -output=reply_enumer.go

// Retention is how long a holder keeps a claim after granting it. The state keeps past
// memberships for the same time, see fleet.ClaimRetentionMs.
const Retention = fleet.ClaimRetentionMs * time.Millisecond

// Reply is a holder's reply to a GrantRequest.
type Reply int

// Replies of a holder. Only Granted allows a dispatch.
const (
	Granted   Reply = iota
	Taken           // another copy of the request holds the claim
	OtherView       // holder and requester are in different views; retry
	Unsettled       // the holder waits for transfers from earlier holders; retry
	Lost            // too many earlier holders are gone, so the request may have run
	Stale           // the holder has no proof that its view is current
)

// Claim is a holder's record that it granted a request id.
type Claim struct {
	Key   string    // request id
	Owner string    // incarnation of the entry that dispatches
	Token uint64    // distinguishes the copies of a request on one entry
	At    time.Time // time of the grant, by the clock of the holder that granted it
}

// GrantRequest asks a holder to grant a request id.
type GrantRequest struct {
	Key   string // request id
	Owner string // incarnation of the requesting entry
	Token uint64 // see Claim.Token
	View  int64  // the requester's view
}

// GrantResponse is a holder's response to a GrantRequest.
type GrantResponse struct {
	Reply Reply
	Owner string // incarnation that owns the claim, if Taken
	View  int64  // the holder's view
}

// Transfer is what a holder sends to the members of a new view.
type Transfer struct {
	View   int64              // the sender's view; the sender has sealed every earlier view
	Claims []Claim            // all claims of the sender
	Known  map[int64][]string // by past view: incarnations whose claims in that view are all in Claims; includes the sender if it was a member then
}

// pastView is an earlier view, kept for Retention after its end.
type pastView struct {
	fleet.PastView
	endedAt     time.Time       // when this holder learned of the view's end, by its clock
	transferred map[string]bool // incarnations that sealed this view and whose claims in it are all in the table
}

// Table holds the claims of one holder. It is not safe for concurrent use.
type Table struct {
	self    string // incarnation
	view    int64
	members []fleet.Member
	past    []pastView
	claims  map[string]Claim
}

// NewTable returns an empty table for the holder with the given incarnation.
func NewTable(self string) *Table {
	return &Table{self: self, claims: map[string]Claim{}}
}

// View returns the view in which the table grants.
func (t *Table) View() int64 { return t.view }

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// SetMembership moves the table to the view of the state, which seals the earlier
// ones. It returns false if the view is not newer. After a move, the caller has to
// send a Transfer to the view's members.
func (t *Table) SetMembership(now time.Time, s *fleet.State) bool {
	if s.View <= t.view {
		return false
	}
	t.view = s.View
	t.members = s.SortedMembers()
	for _, p := range s.Past {
		if t.findPast(p.View) == nil {
			t.addPast(now, p)
		}
	}
	return true
}

func (t *Table) findPast(view int64) *pastView {
	for i := range t.past {
		if t.past[i].View == view {
			return &t.past[i]
		}
	}
	return nil
}

func (t *Table) addPast(now time.Time, p fleet.PastView) {
	transferred := map[string]bool{}
	if contains(p.Members, t.self) {
		transferred[t.self] = true
	}
	t.past = append(t.past, pastView{PastView: p, endedAt: now, transferred: transferred})
}

// Transfer returns the table's claims for the members of its view.
func (t *Table) Transfer() *Transfer {
	tr := &Transfer{View: t.view, Known: map[int64][]string{}}
	for _, c := range t.claims {
		tr.Claims = append(tr.Claims, c)
	}
	for _, p := range t.past {
		for inc := range p.transferred {
			tr.Known[p.View] = append(tr.Known[p.View], inc)
		}
	}
	return tr
}

// Merge adds the claims of another holder's transfer to the table. For each past view it
// records that the sender and the holders in Known have transferred their claims; they
// have sealed that view, so the claims are complete. Merge rejects a transfer of another
// view and returns false, since a transfer of an older view may lack claims that its
// sender granted afterwards.
func (t *Table) Merge(from string, tr *Transfer) bool {
	if tr.View != t.view {
		return false
	}
	for _, c := range tr.Claims {
		if _, ok := t.claims[c.Key]; !ok {
			t.claims[c.Key] = c
		}
	}
	for i := range t.past {
		p := &t.past[i]
		if contains(p.Members, from) {
			p.transferred[from] = true
		}
		for _, inc := range tr.Known[p.View] {
			p.transferred[inc] = true
		}
	}
	return true
}

// RequestGrant handles a request for a grant. Fresh tells whether a majority of the
// view's members has confirmed the view within the freshness time (the setting
// fresh-for-ms). A repeated request for the same claim is granted again.
func (t *Table) RequestGrant(now time.Time, req GrantRequest, fresh bool) GrantResponse {
	switch {
	case req.View != t.view:
		return GrantResponse{Reply: OtherView, View: t.view}
	case !fresh:
		return GrantResponse{Reply: Stale, View: t.view}
	}
	if c, ok := t.claims[req.Key]; ok {
		if c.Owner == req.Owner && c.Token == req.Token {
			return GrantResponse{Reply: Granted, View: t.view}
		}
		return GrantResponse{Reply: Taken, Owner: c.Owner, View: t.view}
	}
	if reply := t.checkPastViews(req.Key); reply != Granted {
		return GrantResponse{Reply: reply, View: t.view}
	}
	t.claims[req.Key] = Claim{Key: req.Key, Owner: req.Owner, Token: req.Token, At: now}
	return GrantResponse{Reply: Granted, View: t.view}
}

// checkPastViews combines the results of checkPastView over all past views: Lost if any
// is Lost, else Unsettled if any is Unsettled, else Granted.
func (t *Table) checkPastViews(key string) Reply {
	reply := Granted
	for _, p := range t.past {
		switch t.checkPastView(p, key) {
		case Lost:
			return Lost
		case Unsettled:
			reply = Unsettled
		}
	}
	return reply
}

// checkPastView returns Granted if enough of the key's holders in a past view have
// transferred their claims that every majority of the holders includes one of them. A
// claim that allowed a run in that view is then in the table. If too few have transferred
// their claims, it returns Unsettled if the transfers of the other holders that are still
// members would be enough, else Lost.
func (t *Table) checkPastView(p pastView, key string) Reply {
	holders := Holders(p.Members, key)
	need := len(holders) - Quorum(len(holders)) + 1
	transferred, expected := 0, 0
	for _, h := range holders {
		switch {
		case p.transferred[h.Incarnation]:
			transferred++
		case contains(t.members, h.Incarnation):
			expected++
		}
	}
	switch {
	case transferred >= need:
		return Granted
	case transferred+expected >= need:
		return Unsettled
	}
	return Lost
}

// Release removes the claim of a request that did not run. It leaves the claim of
// another copy.
func (t *Table) Release(key, owner string, token uint64) {
	if c, ok := t.claims[key]; ok && c.Owner == owner && c.Token == token {
		delete(t.claims, key)
	}
}

// Expire removes claims past their retention, and past views that ended longer ago
// than the retention.
func (t *Table) Expire(now time.Time) {
	for key, c := range t.claims {
		if now.Sub(c.At) > Retention {
			delete(t.claims, key)
		}
	}
	keep := t.past[:0]
	for _, p := range t.past {
		if now.Sub(p.endedAt) <= Retention {
			keep = append(keep, p)
		}
	}
	t.past = keep
}

func contains(members []fleet.Member, incarnation string) bool {
	for _, m := range members {
		if m.Incarnation == incarnation {
			return true
		}
	}
	return false
}
