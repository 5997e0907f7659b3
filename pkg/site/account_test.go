package site

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// TestIndexAccounts guards against a configuration with invalid accounts that admits a caller to
// the wrong account, or that disables the valid ones.
func TestIndexAccounts(t *testing.T) {
	valid := Account{Name: "a", Keys: []string{"k1", "k2"}, Weight: 3}
	tests := []struct {
		name     string
		accounts []Account
		problems int
		want     map[string]string // account by key, empty if the key admits nobody
	}{
		{"valid", []Account{valid, {Name: "b", Keys: []string{"k3"}, Weight: 1}}, 0, map[string]string{"k1": "a", "k2": "a", "k3": "b", "": ""}},
		{"none", nil, 0, map[string]string{"k1": "", "": ""}},
		{"without keys", []Account{valid, {Name: "b", Weight: 1}}, 1, map[string]string{"k1": "a"}},
		{"empty key", []Account{valid, {Name: "b", Keys: []string{""}, Weight: 1}}, 1, map[string]string{"k1": "a", "": ""}},
		{"key in common", []Account{valid, {Name: "b", Keys: []string{"k2", "k3"}, Weight: 1}}, 1, map[string]string{"k1": "a", "k2": "", "k3": "b"}},
		{"key of three", []Account{valid, {Name: "b", Keys: []string{"k2"}, Weight: 1}, {Name: "c", Keys: []string{"k2"}, Weight: 1}}, 2, map[string]string{"k1": "a", "k2": ""}},
		{"key twice in one account", []Account{{Name: "a", Keys: []string{"k1", "k1"}, Weight: 1}}, 0, map[string]string{"k1": "a"}},
		{"name twice", []Account{valid, {Name: "a", Keys: []string{"k4"}, Weight: 1}}, 1, map[string]string{"k1": "a", "k4": "a"}},
		{"weight 0", []Account{{Name: "a", Keys: []string{"k1"}}}, 1, map[string]string{"k1": "a"}},
		{"weight not a number", []Account{{Name: "a", Keys: []string{"k1"}, Weight: math.NaN()}}, 1, map[string]string{"k1": "a"}},
		{"negative limit", []Account{{Name: "a", Keys: []string{"k1"}, Weight: 1, Limit: Resources{CPU: -5}}}, 1, map[string]string{"k1": "a"}},
	}
	for _, tt := range tests {
		c := &Config{Accounts: tt.accounts, HasAccounts: true}
		assert.Equal(t, len(c.IndexAccounts()), tt.problems, tt.name)
		for key, want := range tt.want {
			name, ok := c.AccountOf(key)
			assert.Equal(t, name, want, "%s: key %q", tt.name, key)
			assert.Equal(t, ok, want != "", "%s: key %q", tt.name, key)
		}
		for _, a := range c.Accounts {
			assert.Assert(t, a.Weight >= minWeight && a.Limit.CPU >= 0, "%s: account %+v", tt.name, a)
		}
	}
}

// TestAccessToJobs guards against a caller who reaches the job of another account, and against an
// account that loses its jobs when a route becomes public.
func TestAccessToJobs(t *testing.T) {
	tests := []struct {
		name           string
		access         Access
		account, queue string // of the job
		want           bool
	}{
		{"own job", Access{Account: "a", Queue: "q"}, "a", "q", true},
		{"own job of another queue", Access{Account: "a", Queue: "r"}, "a", "q", true},
		{"job of another account", Access{Account: "b", Queue: "q"}, "a", "q", false},
		{"job from before the site had accounts", Access{Account: "b", Queue: "q"}, "", "q", true},
		{"public job of another queue", Access{Account: "b", Queue: "r"}, "", "q", false},
		{"route that has become public", Access{Queue: "q"}, "a", "q", true},
		{"another public route", Access{Queue: "r"}, "a", "q", false},
		{"site without accounts", Access{Queue: "r"}, "", "q", true},
		{"operator", Access{Operator: true}, "a", "q", true},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.access.Allows(tt.account, tt.queue), tt.want, tt.name)
	}
}

// BenchmarkAccountOf shows that the cost of a key check does not grow with the number of accounts.
func BenchmarkAccountOf(b *testing.B) {
	for _, n := range []int{20, 200, 770} {
		c := &Config{HasAccounts: true}
		for i := range n {
			name := "account-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
			c.Accounts = append(c.Accounts, Account{Name: name, Keys: []string{name + "-1", name + "-2"}, Weight: 1})
		}
		c.IndexAccounts()
		key := c.Accounts[n-1].Keys[1]
		b.Run(c.Accounts[n-1].Name, func(b *testing.B) {
			for range b.N {
				c.AccountOf(key)
			}
		})
	}
}
