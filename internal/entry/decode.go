package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

var errTrailing = errors.New("data after the JSON value")

func unmarshalStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}
