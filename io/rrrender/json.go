// Package rrrender renders status, histories and answers for people and as JSON.
package rrrender

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// span is a duration that JSON shows as 250ms.
type span time.Duration

// MarshalJSON returns the duration as a string.
func (s span) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(s).String())
}

// UnmarshalJSON parses what MarshalJSON returns.
func (s *span) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	*s = span(d)
	return err
}

func encode(v any) []byte {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		// The types of this package hold nothing that can not be encoded.
		panic(err)
	}
	return append(data, '\n')
}

// decode refuses keys that v does not have, so that a document of a later
// version is not shown in part.
func decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("document: %w", err)
	}
	return nil
}
