package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/pkg/result"
)

const copyBufferBytes = 32 << 10 // read buffer for the rest of a long response body

// writeResponse writes the response to the caller. If the response breaks off after the caller
// has received its start, writeResponse aborts the caller's connection, so that the caller does
// not mistake a truncated response for a complete one.
func (h *Handler) writeResponse(w http.ResponseWriter, r *request, resp *response) {
	defer resp.close()
	removeHopHeaders(resp.res.Header)
	copyHeader(w.Header(), resp.res.Header)
	w.Header().Set(result.VerdictHeader, result.Ran.String())
	if resp.bodyRest == nil && r.in.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.bodyPrefix)))
	}
	h.extendWriteDeadline(w)
	w.WriteHeader(resp.res.StatusCode)
	if _, err := w.Write(resp.bodyPrefix); err != nil || resp.bodyRest == nil {
		return
	}
	if err := h.streamBody(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// streamBody copies the rest of the body. It fails when the backend server sends nothing for
// backendStallTimeout or the caller reads nothing for CallerStallTimeout. stallTimer also runs
// while a write to the caller blocks, so streamBody can also fail after a write that has blocked
// for backendStallTimeout.
func (h *Handler) streamBody(w http.ResponseWriter, resp *response) error {
	buf := make([]byte, copyBufferBytes)
	stallTimer := time.AfterFunc(backendStallTimeout, resp.cancel)
	defer stallTimer.Stop()
	for {
		stallTimer.Reset(backendStallTimeout)
		n, err := resp.bodyRest.Read(buf)
		if n > 0 {
			h.extendWriteDeadline(w)
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

// toSaved returns the response in the form that is stored for other copies of the request, or nil
// if the response is too large to store.
func (resp *response) toSaved() *claim.SavedResponse {
	if resp.bodyRest != nil {
		return nil
	}
	header := resp.res.Header.Clone()
	removeHopHeaders(header)
	return &claim.SavedResponse{Status: resp.res.StatusCode, Header: header, Body: resp.bodyPrefix}
}

// extendWriteDeadline gives the caller CallerStallTimeout to read the next bytes.
func (h *Handler) extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.opts.CallerStallTimeout))
}

// writeSavedResponse answers a copy of a request with the stored response to the copy that ran.
func (h *Handler) writeSavedResponse(w http.ResponseWriter, s *claim.SavedResponse) {
	h.extendWriteDeadline(w)
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
