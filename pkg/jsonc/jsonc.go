// Package jsonc decodes JSON with comments and trailing commas into Go structs. It
// removes the comments in a way that keeps byte offsets, decodes the result with
// encoding/json, and maps every error to a file and line. Unknown fields are errors.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a parsed JSON text. Its Errorf method returns errors with the line of a
// value, for checks that follow the decoding.
type Document struct {
	File string
	data []byte
	root hujson.Value
}

// Error describes an invalid text and its location in a file.
type Error struct {
	File   string
	Line   int // starts at 1
	Reason string
}

// Error returns the location and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// Decode decodes the text into a new T.
func Decode[T any](file string, data []byte) (T, *Document, error) {
	var value T
	doc, err := DecodeInto(file, data, &value)
	return value, doc, err
}

// DecodeInto decodes the text into value. Fields that the text does not name keep their
// values.
func DecodeInto(file string, data []byte, value any) (*Document, error) {
	root, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		return nil, &Error{File: file, Line: lineOfParseError(err), Reason: err.Error()}
	}
	doc := &Document{File: file, data: data, root: root}
	standard := root.Clone()
	standard.Standardize()
	dec := json.NewDecoder(bytes.NewReader(standard.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return doc, doc.decodeError(err, dec.InputOffset())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return doc, doc.errorAt(dec.InputOffset(), "unexpected text after the end of the document")
	}
	return doc, nil
}

// Errorf returns an error located at the value of the JSON pointer, or at the innermost
// enclosing value that exists.
func (d *Document) Errorf(pointer, format string, args ...any) error {
	reason := fmt.Sprintf(format, args...)
	for p := pointer; ; p = p[:strings.LastIndexByte(p, '/')] {
		if v := d.root.Find(p); v != nil {
			return d.errorAt(int64(v.StartOffset), reason)
		}
		if !strings.Contains(p, "/") {
			return d.errorAt(0, reason)
		}
	}
}

// errorAt returns an error for the line at a byte offset. An offset after the end of the
// text means its last line.
func (d *Document) errorAt(offset int64, reason string) error {
	offset = min(offset, int64(len(d.data)))
	line := 1 + bytes.Count(d.data[:offset], []byte("\n"))
	return &Error{File: d.File, Line: line, Reason: reason}
}

// decodeError adds the location to an error of encoding/json. The decoder's offsets are
// valid in the original text because Standardize keeps byte offsets.
func (d *Document) decodeError(err error, offset int64) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		reason := fmt.Sprintf("field %q must be of type %s, not %s", typeErr.Field, typeErr.Type, typeErr.Value)
		return d.errorAt(typeErr.Offset, reason)
	}
	reason := strings.TrimPrefix(err.Error(), "json: ")
	if name, ok := strings.CutPrefix(reason, "unknown field "); ok {
		offset = d.offsetOfName(name, offset)
		reason = "field " + name + " is not known"
	}
	return d.errorAt(offset, reason)
}

// offsetOfName returns the offset of the last occurrence of the quoted field name before
// offset, or of its first occurrence in the text if there is none before offset.
func (d *Document) offsetOfName(quoted string, offset int64) int64 {
	offset = min(offset, int64(len(d.data)))
	if i := bytes.LastIndex(d.data[:offset], []byte(quoted)); i >= 0 {
		return int64(i)
	}
	if i := bytes.Index(d.data, []byte(quoted)); i >= 0 {
		return int64(i)
	}
	return offset
}

// lineOfParseError parses the line number from an error text of the form
// "hujson: line 3, column 5: ...".
func lineOfParseError(err error) int {
	line := 1
	_, _ = fmt.Sscanf(err.Error(), "hujson: line %d,", &line)
	return line
}
