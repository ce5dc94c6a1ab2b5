package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// MaxMessageBytes bounds the encoded size of one message. It fits a request body of the largest allowed size plus its
// envelope.
const MaxMessageBytes = 4 << 20

// boundedCodec prefixes each JSON object with its length as a varint. It rejects frames over MaxMessageBytes, so that a
// faulty peer cannot exhaust the memory of a small host.
type boundedCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageBytes {
		return fmt.Errorf("rpc: message of %d bytes exceeds %d", len(data), MaxMessageBytes)
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen64), uint64(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > MaxMessageBytes {
		return fmt.Errorf("rpc: message of %d bytes exceeds %d", size, MaxMessageBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
