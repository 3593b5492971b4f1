// Package rrrender renders the status of an entry, job histories and answers as text
// and as JSON.
package rrrender

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// jsonDuration is a duration whose JSON form is a string such as 250ms.
type jsonDuration time.Duration

// MarshalJSON encodes the duration as a string.
func (d jsonDuration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the result of MarshalJSON.
func (d *jsonDuration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = jsonDuration(parsed)
	return err
}

func encodeJSON(v any) []byte {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		// Can't happen: every type of this package can be encoded.
		panic(err)
	}
	return append(data, '\n')
}

// decodeJSON returns an error for keys that v does not have. Otherwise a document of
// a later version would be shown only in part.
func decodeJSON(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("decode the JSON document: %w", err)
	}
	return nil
}
