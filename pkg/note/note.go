// Package note reads release notes, written in JSON with comments, and checks
// them against the state that they would change.
package note

import (
	"errors"

	"github.com/greengagelane/greengagelane/pkg/fleet"
	"github.com/greengagelane/greengagelane/pkg/jsonc"
)

// UploadName stands for the file of a note that an operator sent to an entry.
const UploadName = "release-note"

// Parse reads a note and refuses unknown fields and wrong types.
func Parse(file string, data []byte) (fleet.Note, *jsonc.Document, error) {
	return jsonc.Decode[fleet.Note](file, data)
}

// Check reads a note and returns why it cannot be put in force on the state,
// with file and line, or the note.
func Check(file string, data []byte, s *fleet.State) (fleet.Note, error) {
	n, doc, err := Parse(file, data)
	if err != nil {
		return n, err
	}
	return n, Locate(doc, s.CheckNote(n))
}

// Locate adds file and line to an error that names a place in the note.
func Locate(doc *jsonc.Document, err error) error {
	var at *fleet.NoteError
	if !errors.As(err, &at) {
		return err
	}
	return doc.Errorf(at.Pointer, "%s: %s", at.Pointer, at.Reason)
}
