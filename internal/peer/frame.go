// Package peer carries typed calls between entries: length-prefixed msgpack
// frames over one TCP connection in each direction. A call that is not answered
// in time fails; a connection on which nothing answers is closed and opened anew.
package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/vmihailenco/msgpack/v5"
)

const maxFrameBytes = 64 << 20

// bytesSent counts what this entry writes to its peers, calls and answers.
var bytesSent = metrics.GetOrCreateCounter(`greengagelane_peer_sent_bytes_total`)

// frame is one message on the wire.
type frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	ID       uint64   // of the call that it asks or answers
	Kind     string   // of the call, empty on an answer
	Error    string   // of a failed call
	Body     msgpack.RawMessage
}

func writeFrame(w *bufio.Writer, f *frame) error {
	data, err := msgpack.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode %s frame: %w", f.Kind, err)
	}
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(data)))
	bytesSent.Add(len(size) + len(data))
	if _, err := w.Write(size[:]); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return w.Flush()
}

func readFrame(r *bufio.Reader) (*frame, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes, the limit is %d", n, maxFrameBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	f := &frame{}
	if err := msgpack.Unmarshal(data, f); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}
