package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/internal/route"
	"github.com/greengagelane/greengagelane/pkg/result"
)

// claimFunc is a Claimer.
type claimFunc func() (*Grant, *claim.SavedResponse, *Refusal)

func (f claimFunc) Claim(context.Context, string) (*Grant, *claim.SavedResponse, *Refusal) {
	return f()
}

// Once the claim of a refused request is released, another copy of it may run. So the caller has to
// get the verdict not-run before the release, or it could get it after the other copy has begun.
func TestClaimIsReleasedAfterTheRefusal(t *testing.T) {
	tests := []struct {
		name  string
		claim func(release func()) (*Grant, *claim.SavedResponse, *Refusal)
	}{
		{"refused by admission", func(release func()) (*Grant, *claim.SavedResponse, *Refusal) {
			return &Grant{ValidUntil: time.Now().Add(time.Minute), Release: release}, nil, nil
		}},
		{"refused by the holders of the claim", func(release func()) (*Grant, *claim.SavedResponse, *Refusal) {
			return nil, nil, &Refusal{Problem: result.Refuse(http.StatusServiceUnavailable, time.Second, "too few holders"), Release: release}
		}},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		flushed, releases, releasedAt := false, 0, int64(0)
		c := claimFunc(func() (*Grant, *claim.SavedResponse, *Refusal) {
			return tt.claim(func() {
				releases++
				releasedAt = time.Now().UnixMicro()
				flushed = w.Flushed && w.Header().Get(result.VerdictHeader) == result.NotRun.String()
			})
		})
		h := newTestHandler(t, c, 1000, closedAddress(t))
		req := httptest.NewRequest(http.MethodPost, "http://svc.example/x", strings.NewReader("body"))
		req.Header.Set(result.IdempotencyKeyHeader, "key")
		h.ServeHTTP(w, req)
		assert.Equal(t, releases, 1, tt.name)
		assert.Assert(t, flushed, "%s: the claim was released before the response was sent", tt.name)
		statedAt, err := strconv.ParseInt(w.Header().Get(result.VerdictTimeHeader), 10, 64)
		assert.NilError(t, err, tt.name)
		assert.Assert(t, statedAt <= releasedAt, "%s: the verdict is dated after the release", tt.name)
	}
}

// stalledBody is a body of which only the start arrives.
type stalledBody struct{}

func (stalledBody) Read([]byte) (int, error) { return 0, context.DeadlineExceeded }
func (stalledBody) Close() error             { return nil }

// A copy of a request must not get the verdict not-run when another copy may have run through another
// entry. Only the claim shows whether one has, so a refusal without it cannot say so.
func TestRefusalWithoutTheClaimDoesNotSayNotRun(t *testing.T) {
	ranBefore := claimFunc(func() (*Grant, *claim.SavedResponse, *Refusal) {
		return nil, &claim.SavedResponse{Status: http.StatusOK, Header: http.Header{}}, nil
	})
	tests := []struct {
		name    string
		service string
		body    io.ReadCloser
		verdict result.Verdict
	}{
		{"service without a worker", "svc", io.NopCloser(strings.NewReader("b")), result.Ran},
		{"unknown service", "absent", io.NopCloser(strings.NewReader("b")), result.MayHaveRun},
		{"incomplete body", "svc", stalledBody{}, result.MayHaveRun},
	}
	for _, tt := range tests {
		h := newTestHandler(t, ranBefore, 1000)
		h.SetTable(&route.Table{Services: h.Table().Services, Pools: map[string]*route.Pool{"p": {Name: "p"}}}, nil)
		req := httptest.NewRequest(http.MethodPost, "http://"+tt.service+".example/x", tt.body)
		req.Header.Set(result.IdempotencyKeyHeader, "key")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		assert.Equal(t, w.Header().Get(result.VerdictHeader), tt.verdict.String(), tt.name)
	}
}
