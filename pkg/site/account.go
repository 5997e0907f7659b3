package site

import "fmt"

// Account is a client account: callers that share a set of keys, a quota and a share of the
// capacity.
type Account struct {
	Name   string
	Keys   []string  // each identifies the account's callers; not logged or stored
	Weight float64   // share under overload, and the jobs per second within it; at least 1
	Limit  Resources // that the account's tasks may use at the same time on all VMs; 0 for no limit
}

// Resources are amounts of what a task reserves on a VM.
type Resources struct {
	CPU   int // thousandths of a core
	MemMB int
	GPU   int // number of accelerators
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemMB: r.MemMB + other.MemMB, GPU: r.GPU + other.GPU}
}

// minWeight is the smallest weight of an account; smaller ones are raised to it, since an account
// without a share would never be served under overload.
const minWeight = 1

// IndexAccounts prepares the configuration for AccountOf and corrects invalid figures of its
// accounts. It returns the problems found, without keys. It must be called before the
// configuration is shared between goroutines.
func (c *Config) IndexAccounts() []string {
	var problems []string
	seen := map[string]bool{}
	c.AccountsByKey = map[string]string{}
	shared := map[string]bool{} // keys of more than one account
	for i := range c.Accounts {
		a := &c.Accounts[i]
		problems = append(problems, a.normalize()...)
		if seen[a.Name] {
			problems = append(problems, fmt.Sprintf("account %q is listed twice", a.Name))
		}
		seen[a.Name] = true
		for _, key := range a.Keys {
			if other, taken := c.AccountsByKey[key]; taken && other != a.Name {
				problems = append(problems, fmt.Sprintf("accounts %q and %q have a key in common; nobody is admitted by it", other, a.Name))
				shared[key] = true
			}
			c.AccountsByKey[key] = a.Name
		}
	}
	for key := range shared {
		delete(c.AccountsByKey, key)
	}
	return problems
}

// normalize corrects invalid figures and removes empty keys. It returns what it found.
func (a *Account) normalize() []string {
	var problems []string
	if !(a.Weight >= minWeight) { // also true for NaN
		problems = append(problems, fmt.Sprintf("account %q has weight %v; handled as %d", a.Name, a.Weight, minWeight))
		a.Weight = minWeight
	}
	for _, limit := range []*int{&a.Limit.CPU, &a.Limit.MemMB, &a.Limit.GPU} {
		if *limit < 0 {
			problems = append(problems, fmt.Sprintf("account %q has the negative limit %d; handled as no limit", a.Name, *limit))
			*limit = 0
		}
	}
	keys := make([]string, 0, len(a.Keys))
	for _, key := range a.Keys {
		if key != "" {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		problems = append(problems, fmt.Sprintf("account %q has no keys", a.Name))
	}
	a.Keys = keys
	return problems
}

// AccountOf returns the name of the account that has a key.
func (c *Config) AccountOf(key string) (name string, ok bool) {
	name, ok = c.AccountsByKey[key]
	return name, ok
}

// Access identifies who makes a request and for which queue, to decide whether the request may
// concern a job.
type Access struct {
	Account  string // of the caller's key; empty on routes that need none
	Queue    string // of the request's route
	Operator bool   // an operator's request, which may concern any job
}

// Allows reports whether a request may concern a job of the given account and queue. Jobs
// without an account were accepted on a public route, or before the configuration had accounts. The
// jobs of a route that has become public are open to its callers, who no longer send keys.
func (a *Access) Allows(account, queue string) bool {
	switch {
	case a.Operator:
		return true
	case account == "" || a.Account == "":
		return account == a.Account || queue == a.Queue
	}
	return account == a.Account
}
