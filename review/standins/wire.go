//go:build review

package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"text/template"
)

// wire holds the messages of the platform and its names for calls and fields. As in the product, Go files outside the
// folder platform do not name them.
//
//go:embed wire
var wire embed.FS

// message fills in a message of the folder wire.
func message(name string, fields any) ([]byte, error) {
	t, err := template.New(name).Option("missingkey=error").ParseFS(wire, "wire/"+name)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if err := t.Execute(&b, fields); err != nil {
		return nil, err
	}
	return bytes.TrimSpace(b.Bytes()), nil
}

// wireNames are the platform's names for the calls to an executor, their fields and headers.
type wireNames struct {
	StartCall, StopCall, HoldCall               string
	TargetHeader, CallerDeadlineHeader          string
	Task, Run, Spec, Deadline, Fence, Ack, Wait string
	Running, Ended                              string
}

var names = mustLoadNames()

func mustLoadNames() wireNames {
	var n wireNames
	data, err := wire.ReadFile("wire/names.json")
	if err == nil {
		err = json.Unmarshal(data, &n)
	}
	if err != nil {
		panic(fmt.Sprintf("wire names: %v", err))
	}
	return n
}

// decodeOrder decodes the body of an agent's call. Fields that are missing stay zero.
func decodeOrder(body io.Reader, o *order) error {
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(body).Decode(&fields); err != nil {
		return err
	}
	for name, value := range map[string]any{names.Task: &o.Task, names.Run: &o.RunID, names.Spec: &o.Spec,
		names.Deadline: &o.DeadlineMS, names.Fence: &o.Fence, names.Ack: &o.Ack, names.Wait: &o.WaitMS} {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, value); err != nil {
				return err
			}
		}
	}
	return nil
}
