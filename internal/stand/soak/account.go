package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// Client accounts of the configuration. The keys of callerAccounts and floodAccount never change;
// that of rotatedAccount changes with each version.
var callerAccounts = []string{"north", "south"}

const (
	floodAccount   = "flood"
	rotatedAccount = "rotated"
	waitingAccount = "standing"             // of jobs that are submitted at once; its weight keeps them within its share
	quotaOverage   = 0.1                    // fraction above its quota that an account may have running
	floodCPU       = 12_000                 // quota of floodAccount, in thousandths of a core
	revokeLimit    = 5 * time.Second        // after which a strict entry without news refuses keyed calls
	revokeMargin   = 500 * time.Millisecond // for a call that the entry has checked when the limit passes
)

// rotatedKey is a key of rotatedAccount. revokedAt is when a configuration without it was
// published; zero if none was.
type rotatedKey struct {
	key       string
	revokedAt time.Time
}

func lastingKey(account string) string { return "key-of-" + account }

// strict reports whether the entries refuse keyed calls while they cannot confirm the keys. Seeds
// with an even number cover this; only then is there a bound on the use of a revoked key by entries that
// faults separate from the log and from all peers.
func (harness *Harness) strict() bool { return harness.cfg.Seed%2 == 0 }

// rotateKey replaces the key of rotatedAccount and returns the accounts of a version; harness.mu is
// held. The former key counts as revoked some time before the publication, which follows.
func (harness *Harness) rotateKey(version int64) []emul.Account {
	if n := len(harness.keys); n > 0 {
		harness.keys[n-1].revokedAt = time.Now()
	}
	key := fmt.Sprintf("rotated-%d", version)
	harness.keys = append(harness.keys, rotatedKey{key: key})
	accounts := []emul.Account{
		{Name: rotatedAccount, Keys: []string{key}, Weight: 5},
		{Name: floodAccount, Keys: []string{lastingKey(floodAccount)}, Weight: 5, Limit: emul.Resources{CPU: floodCPU}},
		{Name: waitingAccount, Keys: []string{lastingKey(waitingAccount)}, Weight: 500},
	}
	for _, name := range callerAccounts {
		accounts = append(accounts, emul.Account{Name: name, Keys: []string{lastingKey(name)}, Weight: 20})
	}
	return accounts
}

// revokedKey returns a key that has been revoked for longer than the limit.
func (harness *Harness) revokedKey(r *rand.Rand) (key string, found bool) {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	n := 0
	for n < len(harness.keys) && !harness.keys[n].revokedAt.IsZero() && time.Since(harness.keys[n].revokedAt) > revokeLimit+revokeMargin {
		n++
	}
	if n == 0 {
		return "", false
	}
	return harness.keys[r.IntN(n)].key, true
}

// newFlood returns the caller of floodAccount.
func newFlood(harness *Harness) *caller {
	c := newCaller(harness, harness.cfg.Seed, 1<<32)
	c.account, c.key = floodAccount, lastingKey(floodAccount)
	return c
}

// flood submits as many jobs as the entries take for 2 s, then none for 3 s, until ctx is done.
func (c *caller) flood(ctx context.Context) {
	const burst, pause, interval = 2 * time.Second, 3 * time.Second, 30 * time.Millisecond
	for ctx.Err() == nil {
		burstCtx, stop := context.WithTimeout(ctx, burst)
		for burstCtx.Err() == nil {
			c.submit(burstCtx)
			sleep(burstCtx, interval)
		}
		stop()
		sleep(ctx, pause)
	}
}

// probe sends requests that must not succeed: with keys that no configuration held, with revoked keys, and
// for jobs of other client accounts. The jobs that it submits are not in the registry, so that a
// run of one is a violation. It also has the configuration replaced regularly, so that keys are revoked.
type probe struct{ *caller }

func newProbe(harness *Harness) *probe {
	return &probe{newCaller(harness, harness.cfg.Seed, 1<<32+1)}
}

func (p *probe) run(ctx context.Context) {
	const rotateInterval = 4 * time.Second
	rotatedAt := time.Now()
	for ctx.Err() == nil {
		if p.r.IntN(4) == 0 { // a new connection, often to another entry
			p.client.CloseIdleConnections()
			p.client, p.entry = newClient(), nil
		}
		if time.Since(rotatedAt) > rotateInterval {
			rotatedAt = time.Now()
			p.harness.configure()
		}
		switch p.r.IntN(3) {
		case 0:
			p.sendInvalidKey(fmt.Sprintf("unknown-%d", p.r.Uint64()), "of no configuration")
		case 1:
			if key, found := p.harness.revokedKey(p.r); found && p.harness.strict() {
				p.sendInvalidKey(key, "revoked for longer than the limit")
			}
		case 2:
			p.sendForeign()
		}
		sleep(ctx, time.Duration(p.r.IntN(200))*time.Millisecond)
	}
}

// noAnswer reports whether a status says nothing about the key or the job: the request got no
// complete response, was refused for now, or ran out of time.
func noAnswer(status int) bool {
	return status == 0 || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// sendInvalidKey sends a request with a key that must not be valid. what describes the key.
func (p *probe) sendInvalidKey(key, what string) {
	p.key = key
	method, body := p.randomRequest()
	queue := p.randomQueue()
	path := "/" + queue + "/" + fmt.Sprintf("%016x", p.r.Uint64())
	if status, reply, _ := p.send(method, path, body); status != http.StatusUnauthorized && !noAnswer(status) && !p.harness.isDropped(queue, status) {
		p.harness.reportViolation("KEY %s %s with a key %s got status %d from %s: %s", method, path, what, status, p.harness.entryName(p.entry), reply)
	}
}

// sendForeign sends a request for an accepted job of another client account. Show and cancel must
// find no such job, and a submission must be refused.
func (p *probe) sendForeign() {
	p.account = callerAccounts[p.r.IntN(len(callerAccounts))]
	p.key = lastingKey(p.account)
	var foreign []*Job
	for _, j := range p.harness.registry.All() {
		j.mu.Lock()
		if j.Account != p.account && !j.acceptedAt.IsZero() {
			foreign = append(foreign, j)
		}
		j.mu.Unlock()
	}
	if len(foreign) == 0 {
		return
	}
	j := foreign[p.r.IntN(len(foreign))]
	method, body := p.randomRequest()
	want := http.StatusGone
	if method == http.MethodPost {
		want = http.StatusServiceUnavailable
	}
	if status, reply, _ := p.send(method, "/"+j.Queue+"/"+j.ID, body); status != want && !noAnswer(status) && !p.harness.isDropped(j.Queue, status) {
		p.harness.reportViolation("KEY %s of job %s of account %s with the key of %s got status %d from %s: %s", method, j.ID, j.Account, p.account, status, p.harness.entryName(p.entry), reply)
	}
}

// randomRequest returns a method and, for a submission, its body.
func (p *probe) randomRequest() (method string, body []byte) {
	method = []string{http.MethodGet, http.MethodDelete, http.MethodPost}[p.r.IntN(3)]
	if method != http.MethodPost {
		return method, nil
	}
	body, err := json.Marshal(map[string]any{"spec": "probe", "steps": []step{{Count: 1, CPU: 500, EstimateMS: 100}}})
	if err != nil {
		return http.MethodGet, nil
	}
	return method, body
}

func (p *probe) randomQueue() string {
	return p.harness.queues[p.r.IntN(len(p.harness.queues))].Name
}
