// Package peer implements remote calls between entries. Calls and responses are length-prefixed
// msgpack frames. An entry sends its calls to a peer over one TCP connection and gets the responses
// on it; calls in the other direction use another connection. A connection begins with a hello
// call that presents the calling entry's key. A call that gets no response in time fails, and its
// connection is replaced, since it may be dead.
package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/vmihailenco/msgpack/v5"
)

const maxFrameBytes = 64 << 20 // a longer frame is rejected before a buffer is allocated for it

// bytesSent counts the bytes of all frames written to peers, calls and responses.
var bytesSent = metrics.GetOrCreateCounter(`greengagelane_peer_sent_bytes_total`)

// frame is one call or its response.
type frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	ID       uint64   // of the call; its response carries the same id
	Kind     string   // of the call; empty in a response
	Error    string   // why the call failed; only in a response
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
