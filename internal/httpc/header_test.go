package httpc

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPlainHeaderIsReadAsByPackageHTTP guards against a response that is read in another way than by package http: with
// another length, or the next response as a part of it.
func TestPlainHeaderIsReadAsByPackageHTTP(t *testing.T) {
	tests := []struct {
		name, text string
		plain      bool
	}{
		{"plain", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\nDate: now\r\n\r\nok", true},
		{"names in another case", "HTTP/1.1 409 Conflict\r\ncontent-length:2\r\nCONTENT-TYPE: x\r\n\r\nok", true},
		{"no text after the status", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", true},
		{"empty body", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"chunks and a length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"no length", "HTTP/1.1 200 OK\r\nDate: now\r\n\r\nok", false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok", false},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", false},
		{"signed length", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok", false},
		{"empty length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok", false},
		{"length with a space before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", false},
		{"connection is closed", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
		{"informational", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"no content", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", false},
		{"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", false},
		{"older protocol", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"continued line", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n 2\r\n\r\nok", false},
		{"line without a name", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nx\r\n\r\nok", false},
		{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", false},
		{"carriage return in a value", "HTTP/1.1 200 OK\r\nDate: a\rb\r\nContent-Length: 2\r\n\r\nok", false},
		{"status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"ends early", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", true},
		{"header ends early", "HTTP/1.1 200 OK\r\nContent-Le", false},
	}
	for _, tt := range tests {
		r := bufio.NewReader(strings.NewReader(tt.text))
		_, _ = r.Peek(1)
		_, _, plain := skipPlainHeader(r)
		assert.Equal(t, plain, tt.plain, tt.name)

		want, wantRest, wantErr := readByPackageHTTP(tt.text)
		r = bufio.NewReader(strings.NewReader(tt.text))
		_, _ = r.Peek(1)
		got, _, err := (&Conn{}).readResponse(r)
		assert.Equal(t, err != nil, wantErr != nil, "%s: %v, by package http %v", tt.name, err, wantErr)
		if err != nil {
			continue
		}
		rest, _ := io.ReadAll(r)
		assert.Equal(t, got.Status, want.Status, tt.name)
		assert.Equal(t, string(got.Body), string(want.Body), tt.name)
		assert.Equal(t, string(rest), wantRest, tt.name)
	}
}

func readByPackageHTTP(text string) (res *Response, rest string, err error) {
	r := bufio.NewReader(strings.NewReader(text))
	full, err := readFinalResponse(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(full.Body)
	if err != nil {
		return nil, "", err
	}
	left, err := io.ReadAll(r)
	return &Response{Status: full.StatusCode, Body: body}, string(left), err
}
