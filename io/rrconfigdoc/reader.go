package rrconfigdoc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"
	"unicode/utf8"

	"rattanring/core/rrconf"
)

// reader decodes a JSON text token by token. Its methods take the path of the value
// they read, for use in errors.
type reader struct {
	dec *json.Decoder
}

func newReader(text []byte) (*reader, error) {
	if !utf8.Valid(text) {
		return nil, &SyntaxError{Detail: "the text is not UTF-8"}
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	return &reader{dec}, nil
}

func (r *reader) nextToken() (json.Token, error) {
	tok, err := r.dec.Token()
	if err == nil {
		return tok, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return nil, &SyntaxError{Offset: r.dec.InputOffset(), Detail: err.Error()}
}

// expectDelim reads delim, which begins an object or an array.
func (r *reader) expectDelim(path string, delim json.Delim, want string) error {
	tok, err := r.nextToken()
	if err != nil {
		return err
	}
	if tok != delim {
		return newFieldError(path, tok, want)
	}
	return nil
}

// readObject reads an object. It calls field for each key, and field reads the value.
func (r *reader) readObject(path string, field func(key, path string) error) error {
	if err := r.expectDelim(path, '{', "an object"); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for r.dec.More() {
		tok, err := r.nextToken()
		if err != nil {
			return err
		}
		key, _ := tok.(string) // the decoder accepts no other type as a key
		keyPath := joinPath(path, key)
		if seen[key] {
			return &RepeatedKeyError{keyPath}
		}
		seen[key] = true
		if err := field(key, keyPath); err != nil {
			return err
		}
	}
	_, err := r.nextToken()
	return err
}

// readArray reads an array. It calls element for each element, and element reads it.
func (r *reader) readArray(path string, element func(path string) error) error {
	if err := r.expectDelim(path, '[', "an array"); err != nil {
		return err
	}
	for i := 0; r.dec.More(); i++ {
		if err := element(fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := r.nextToken()
	return err
}

// expectEnd returns an error if anything follows the document.
func (r *reader) expectEnd() error {
	tok, err := r.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return &SyntaxError{Offset: r.dec.InputOffset(), Detail: fmt.Sprintf("%.20q after the document", fmt.Sprint(tok))}
}

func (r *reader) readString(path string, dst *string) error {
	tok, err := r.nextToken()
	if err != nil {
		return err
	}
	s, ok := tok.(string)
	if !ok {
		return newFieldError(path, tok, "a text")
	}
	*dst = s
	return nil
}

// readName reads a string of at most rrconf.MaxNameBytes bytes.
func (r *reader) readName(path string, dst *string) error {
	if err := r.readString(path, dst); err != nil {
		return err
	}
	if len(*dst) > rrconf.MaxNameBytes {
		return newFieldError(path, *dst, fmt.Sprintf("at most %d bytes", rrconf.MaxNameBytes))
	}
	return nil
}

func (r *reader) readBool(path string, dst *bool) error {
	tok, err := r.nextToken()
	if err != nil {
		return err
	}
	b, ok := tok.(bool)
	if !ok {
		return newFieldError(path, tok, "true or false")
	}
	*dst = b
	return nil
}

func (r *reader) readNumber(path, want string) (json.Number, error) {
	tok, err := r.nextToken()
	if err != nil {
		return "", err
	}
	n, ok := tok.(json.Number)
	if !ok {
		return "", newFieldError(path, tok, want)
	}
	return n, nil
}

func (r *reader) readUint(path string, dst *uint64) error {
	const want = "a whole number, 0 or above"
	n, err := r.readNumber(path, want)
	if err != nil {
		return err
	}
	v, err := strconv.ParseUint(n.String(), 10, 64)
	if err != nil {
		return newFieldError(path, n, want)
	}
	*dst = v
	return nil
}

func (r *reader) readInt(path string, dst *int) error {
	const want = "a whole number"
	n, err := r.readNumber(path, want)
	if err != nil {
		return err
	}
	v, err := strconv.ParseInt(n.String(), 10, 32)
	if err != nil {
		return newFieldError(path, n, want)
	}
	*dst = int(v)
	return nil
}

func (r *reader) readFloat(path string, dst *float64) error {
	n, err := r.readNumber(path, "a number")
	if err != nil {
		return err
	}
	v, err := n.Float64()
	if err != nil || math.IsInf(v, 0) {
		return newFieldError(path, n, "a number")
	}
	*dst = v
	return nil
}

func (r *reader) readDuration(path string, dst *time.Duration) error {
	var s string
	if err := r.readString(path, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return newFieldError(path, s, `a duration such as "20s"`)
	}
	*dst = v
	return nil
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// maxShownBytes bounds the part of a value that an error quotes.
const maxShownBytes = 40

func newFieldError(path string, value any, want string) error {
	if path == "" {
		path = "document"
	}
	shown := fmt.Sprint(value)
	if value == nil {
		shown = "null"
	}
	if s, ok := value.(string); ok {
		shown = strconv.Quote(s)
	}
	if len(shown) > maxShownBytes {
		shown = shown[:maxShownBytes] + "…"
	}
	return &rrconf.FieldError{Field: path, Value: shown, Allowed: want}
}
