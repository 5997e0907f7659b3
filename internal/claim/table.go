package claim

import (
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

//go:generate ../../.bin/enumer -type=Reply -transform=kebab -output=reply_enumer.go

// Retention is how long a claim is remembered after it was granted.
const Retention = fleet.ClaimRetentionMs * time.Millisecond

// Reply is a holder's answer to a claim.
type Reply int

// Replies of a holder. Only Granted allows a dispatch.
const (
	Granted   Reply = iota
	Taken           // another copy of the request has the claim
	OtherView       // holder and asker are in different views; ask again
	Unsettled       // the holder waits for earlier holders; ask again
	Lost            // the earlier holders are gone, so the id may have run
	Stale           // the holder cannot show that its view is current
)

// Claim is what a holder remembers of one request id.
type Claim struct {
	Key   string
	Owner string    // incarnation of the entry that dispatches
	Token uint64    // tells apart two requests with the same key on one entry
	At    time.Time // when it was granted, by the clock of the holder
}

// GrantRequest is a request for a grant.
type GrantRequest struct {
	Key   string
	Owner string
	Token uint64
	View  int64
}

// GrantResponse is the reply to an Ask.
type GrantResponse struct {
	Reply Reply
	Owner string // of the claim, if Taken
	View  int64  // of the holder
}

// Transfer is what a holder tells the members of a new view.
type Transfer struct {
	View   int64              // the sender has sealed every view before this one
	Claims []Claim            // all it remembers
	Known  map[int64][]string // by past view: incarnations whose claims it has, itself included
}

// pastView is a membership whose claims may still matter.
type pastView struct {
	fleet.PastView
	endedAt time.Time       // local time at which this holder learned of the end
	known   map[string]bool // incarnations whose sealed claims are in the table
}

// Table is one holder's memory. It is not safe for concurrent use.
type Table struct {
	self    string // incarnation
	view    int64
	members []fleet.Member
	past    []pastView
	claims  map[string]Claim
}

// NewTable returns the table of a holder that knows nothing yet.
func NewTable(self string) *Table {
	return &Table{self: self, claims: map[string]Claim{}}
}

// View returns the view that the table grants in.
func (t *Table) View() int64 { return t.view }

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// SetMembership moves the table to a new view, or returns false if the view is
// not newer. What the table knows then has to be sent to the view's members.
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
	known := map[string]bool{}
	if contains(p.Members, t.self) {
		known[t.self] = true
	}
	t.past = append(t.past, pastView{PastView: p, endedAt: now, known: known})
}

// Transfer returns everything that the table knows.
func (t *Table) Transfer() *Transfer {
	tr := &Transfer{View: t.view, Known: map[int64][]string{}}
	for _, c := range t.claims {
		tr.Claims = append(tr.Claims, c)
	}
	for _, p := range t.past {
		for inc := range p.known {
			tr.Known[p.View] = append(tr.Known[p.View], inc)
		}
	}
	return tr
}

// Merge takes in another holder's transfer. A transfer of an older view is
// refused: its sender may have granted more since.
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
			p.known[from] = true
		}
		for _, inc := range tr.Known[p.View] {
			p.known[inc] = true
		}
	}
	return true
}

// RequestGrant decides on a claim. Fresh says whether a majority of the view has shown
// to be in it within the freshness time.
func (t *Table) RequestGrant(now time.Time, a GrantRequest, fresh bool) GrantResponse {
	switch {
	case a.View != t.view:
		return GrantResponse{Reply: OtherView, View: t.view}
	case !fresh:
		return GrantResponse{Reply: Stale, View: t.view}
	}
	if c, ok := t.claims[a.Key]; ok {
		if c.Owner == a.Owner && c.Token == a.Token {
			return GrantResponse{Reply: Granted, View: t.view}
		}
		return GrantResponse{Reply: Taken, Owner: c.Owner, View: t.view}
	}
	if reply := t.settled(a.Key); reply != Granted {
		return GrantResponse{Reply: reply, View: t.view}
	}
	t.claims[a.Key] = Claim{Key: a.Key, Owner: a.Owner, Token: a.Token, At: now}
	return GrantResponse{Reply: Granted, View: t.view}
}

// settled reports whether every past view's holders of the key have spoken.
func (t *Table) settled(key string) Reply {
	reply := Granted
	for _, p := range t.past {
		switch t.settledIn(p, key) {
		case Lost:
			return Lost
		case Unsettled:
			reply = Unsettled
		}
	}
	return reply
}

// settledIn reports whether enough holders of a past view have told what they
// know: any majority that may have allowed a run has to include one of them.
func (t *Table) settledIn(p pastView, key string) Reply {
	holders := Holders(p.Members, key)
	need := len(holders) - Quorum(len(holders)) + 1
	known, possible := 0, 0
	for _, h := range holders {
		switch {
		case p.known[h.Incarnation]:
			known++
		case contains(t.members, h.Incarnation):
			possible++
		}
	}
	switch {
	case known >= need:
		return Granted
	case known+possible >= need:
		return Unsettled
	}
	return Lost
}

// Release forgets a claim whose request certainly did not run.
func (t *Table) Release(key, owner string, token uint64) {
	if c, ok := t.claims[key]; ok && c.Owner == owner && c.Token == token {
		delete(t.claims, key)
	}
}

// Expire forgets claims past their retention, and past views that are wholly
// known or ended a retention ago.
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
