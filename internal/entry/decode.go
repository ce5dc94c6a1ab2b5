package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

var errTrailingData = errors.New("data after the JSON value")

// unmarshalStrict decodes one JSON value. Unknown fields and data after the value are errors.
func unmarshalStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}
