// Package note parses release notes, which operators write in JSON with comments, and
// checks them against the fleet state that they would change. Errors are located in the
// note by file and line. The command line and the operator API use it before a note is
// appended to the log.
package note

import (
	"errors"

	"github.com/greengagelane/greengagelane/pkg/fleet"
	"github.com/greengagelane/greengagelane/pkg/jsonc"
)

// UploadName is the file name in errors about a note that an operator sent to an entry.
const UploadName = "release-note"

// Parse parses a release note. Unknown fields and wrong types are errors. The document
// locates the errors of later checks.
func Parse(file string, data []byte) (fleet.Note, *jsonc.Document, error) {
	return jsonc.Decode[fleet.Note](file, data)
}

// Check parses a release note and checks whether it is valid for the fleet state. Errors
// name the file and line.
func Check(file string, data []byte, s *fleet.State) (fleet.Note, error) {
	n, doc, err := Parse(file, data)
	if err != nil {
		return n, err
	}
	return n, Locate(doc, s.CheckNote(n))
}

// Locate adds file and line to a fleet.NoteError and returns other errors unchanged.
func Locate(doc *jsonc.Document, err error) error {
	var noteErr *fleet.NoteError
	if !errors.As(err, &noteErr) {
		return err
	}
	return doc.Errorf(noteErr.Pointer, "%s: %s", noteErr.Pointer, noteErr.Reason)
}
