package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/pkg/result"
)

const copyBytes = 32 << 10

// send passes the whole answer to the caller. An answer that is cut after its
// start ends the caller's connection, so that it is never taken for whole.
func (h *Handler) send(w http.ResponseWriter, r *request, a *answer) {
	defer a.close()
	removeHopHeaders(a.res.Header)
	copyHeader(w.Header(), a.res.Header)
	w.Header().Set(result.VerdictHeader, result.Ran.String())
	if a.rest == nil && r.in.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.head)))
	}
	h.extendWrite(w)
	w.WriteHeader(a.res.StatusCode)
	if _, err := w.Write(a.head); err != nil || a.rest == nil {
		return
	}
	if err := h.stream(w, a); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stream copies the rest of an answer while both ends make progress.
func (h *Handler) stream(w http.ResponseWriter, a *answer) error {
	buf := make([]byte, copyBytes)
	stall := time.AfterFunc(stallLimit, a.stop)
	defer stall.Stop()
	for {
		stall.Reset(stallLimit)
		n, err := a.rest.Read(buf)
		if n > 0 {
			h.extendWrite(w)
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// saved returns the answer in the form that is kept for other copies, or nil if
// it is too large to be kept.
func (a *answer) saved() *claim.SavedResponse {
	if a.rest != nil {
		return nil
	}
	header := a.res.Header.Clone()
	removeHopHeaders(header)
	return &claim.SavedResponse{Status: a.res.StatusCode, Header: header, Body: a.head}
}

// extendWrite gives the caller time to take the next bytes.
func (h *Handler) extendWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.opts.CallerStallTimeout))
}

// sendSaved answers a copy of a request with the first copy's answer.
func (h *Handler) sendSaved(w http.ResponseWriter, s *claim.SavedResponse) {
	h.extendWrite(w)
	copyHeader(w.Header(), s.Header)
	w.Header().Set(result.VerdictHeader, result.Ran.String())
	w.Header().Set("Content-Length", strconv.Itoa(len(s.Body)))
	w.WriteHeader(s.Status)
	_, _ = w.Write(s.Body)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}
