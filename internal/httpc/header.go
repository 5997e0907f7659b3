package httpc

import (
	"bufio"
	"bytes"
	"net/http"
)

const protocol = "HTTP/1.1 "

// skipPlainHeader skips the header of a response if it is a plain one: it is in the buffer as a whole, and each of its
// lines has a meaning that this function knows to be no other than the length of the body. Otherwise it skips nothing and
// ok is false, so that package http decides.
func skipPlainHeader(r *bufio.Reader) (status, length int, ok bool) {
	data, err := r.Peek(r.Buffered())
	if err != nil {
		return 0, 0, false
	}
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 {
		return 0, 0, false
	}
	lines := data[:end]
	first, lines, _ := bytes.Cut(lines, []byte("\r\n"))
	if status, ok = plainStatus(first); !ok {
		return 0, 0, false
	}
	length = -1
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !plainValue(value) {
			return 0, 0, false
		}
		value = bytes.TrimSpace(value)
		switch {
		case equalName(name, "content-length"):
			if length >= 0 {
				return 0, 0, false
			}
			if length, ok = decimal(value); !ok || length > maxResponseBytes {
				return 0, 0, false
			}
		case !isPlainName(name):
			return 0, 0, false
		}
	}
	if length < 0 {
		return 0, 0, false
	}
	_, err = r.Discard(end + 4)
	return status, length, err == nil
}

// plainStatus returns the status of a status line, of which a body of the given length always follows.
func plainStatus(line []byte) (status int, ok bool) {
	rest, ok := bytes.CutPrefix(line, []byte(protocol))
	if !ok || len(rest) < 4 || rest[3] != ' ' {
		return 0, false
	}
	status, ok = decimal(rest[:3])
	return status, ok && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// isPlainName reports whether a header has no effect on how the response is read.
func isPlainName(name []byte) bool {
	for _, known := range []string{"content-type", "date", "server"} {
		if equalName(name, known) {
			return true
		}
	}
	return false
}

// equalName reports whether a header has the given name, which is in lower case.
func equalName(name []byte, lower string) bool {
	if len(name) != len(lower) {
		return false
	}
	for i, c := range name {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// plainValue reports whether a header's value has printable characters only.
func plainValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// decimal returns the number that a text of one to nine digits stands for.
func decimal(text []byte) (n int, ok bool) {
	if len(text) == 0 || len(text) > 9 {
		return 0, false
	}
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, true
}
