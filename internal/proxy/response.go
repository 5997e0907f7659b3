package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/pkg/result"
)

const copyBufferBytes = 32 << 10

// writeResponse writes the response to the caller. If the response breaks off after the caller
// has received its start, writeResponse aborts the caller's connection, so that the caller does
// not mistake a truncated response for a complete one.
func (h *Handler) writeResponse(w http.ResponseWriter, r *request, a *response) {
	defer a.close()
	removeHopHeaders(a.res.Header)
	copyHeader(w.Header(), a.res.Header)
	w.Header().Set(result.VerdictHeader, result.Ran.String())
	if a.bodyRest == nil && r.in.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.bodyPrefix)))
	}
	h.extendWriteDeadline(w)
	w.WriteHeader(a.res.StatusCode)
	if _, err := w.Write(a.bodyPrefix); err != nil || a.bodyRest == nil {
		return
	}
	if err := h.streamBody(w, a); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// streamBody copies the rest of the body. It fails when the backend server sends nothing for
// backendStallTimeout or the caller reads nothing for CallerStallTimeout.
func (h *Handler) streamBody(w http.ResponseWriter, a *response) error {
	buf := make([]byte, copyBufferBytes)
	stall := time.AfterFunc(backendStallTimeout, a.cancel)
	defer stall.Stop()
	for {
		stall.Reset(backendStallTimeout)
		n, err := a.bodyRest.Read(buf)
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

// toSaved returns the response in the form that is stored for duplicates of the request, or nil
// if the response is too large to store.
func (a *response) toSaved() *claim.SavedResponse {
	if a.bodyRest != nil {
		return nil
	}
	header := a.res.Header.Clone()
	removeHopHeaders(header)
	return &claim.SavedResponse{Status: a.res.StatusCode, Header: header, Body: a.bodyPrefix}
}

// extendWriteDeadline gives the caller CallerStallTimeout to read the next bytes.
func (h *Handler) extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.opts.CallerStallTimeout))
}

// writeSavedResponse answers a duplicate request with the stored response to the original.
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
