// Package jsonc reads JSON with comments into plain structs. It refuses unknown
// fields and reports every error with file and line.
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

// Document is a parsed text that can tell the line of each of its values.
type Document struct {
	File string
	data []byte
	root hujson.Value
}

// Error is a refusal with its place.
type Error struct {
	File   string
	Line   int // 1 is the first
	Reason string
}

// Error makes Error an error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// Decode reads the text into a new T.
func Decode[T any](file string, data []byte) (T, *Document, error) {
	var value T
	doc, err := DecodeInto(file, data, &value)
	return value, doc, err
}

// DecodeInto reads the text into value, whose present fields are the defaults.
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
		return doc, doc.errorAt(dec.InputOffset(), "text follows the document")
	}
	return doc, nil
}

// Errorf returns an error at the value that the JSON pointer names, or at the
// nearest value around it.
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

func (d *Document) errorAt(offset int64, reason string) error {
	offset = min(offset, int64(len(d.data)))
	line := 1 + bytes.Count(d.data[:offset], []byte("\n"))
	return &Error{File: d.File, Line: line, Reason: reason}
}

// decodeError finds the place of an error of encoding/json. Standardize keeps
// offsets, so those of the decoder are those of the text.
func (d *Document) decodeError(err error, offset int64) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		reason := fmt.Sprintf("field %q takes a %s, not a %s", wrongType.Field, wrongType.Type, wrongType.Value)
		return d.errorAt(wrongType.Offset, reason)
	}
	reason := strings.TrimPrefix(err.Error(), "json: ")
	if name, ok := strings.CutPrefix(reason, "unknown field "); ok {
		offset = d.offsetOfName(name, offset)
		reason = "field " + name + " is not known"
	}
	return d.errorAt(offset, reason)
}

// offsetOfName returns where the quoted field name stands last before offset,
// or first in the text if the decoder had not reached it.
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

// lineOfParseError reads the line from an error text of the form
// "hujson: line 3, column 5: ...".
func lineOfParseError(err error) int {
	line := 1
	_, _ = fmt.Sscanf(err.Error(), "hujson: line %d,", &line)
	return line
}
