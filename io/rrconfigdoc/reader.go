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

// reader walks through a JSON text and knows the path of each value.
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

func (r *reader) token() (json.Token, error) {
	tok, err := r.dec.Token()
	if err == nil {
		return tok, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return nil, &SyntaxError{Offset: r.dec.InputOffset(), Detail: err.Error()}
}

// open reads the delimiter that begins an object or an array.
func (r *reader) open(path string, delim json.Delim, want string) error {
	tok, err := r.token()
	if err != nil {
		return err
	}
	if tok != delim {
		return wrong(path, tok, want)
	}
	return nil
}

// object calls field for each key, which reads the value.
func (r *reader) object(path string, field func(key, path string) error) error {
	if err := r.open(path, '{', "an object"); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for r.dec.More() {
		tok, err := r.token()
		if err != nil {
			return err
		}
		key, _ := tok.(string) // the decoder takes nothing else as a key
		at := join(path, key)
		if seen[key] {
			return &RepeatedError{at}
		}
		seen[key] = true
		if err := field(key, at); err != nil {
			return err
		}
	}
	_, err := r.token()
	return err
}

// array calls element for each element, which reads it.
func (r *reader) array(path string, element func(path string) error) error {
	if err := r.open(path, '[', "an array"); err != nil {
		return err
	}
	for i := 0; r.dec.More(); i++ {
		if err := element(fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := r.token()
	return err
}

// end makes sure that nothing follows the document.
func (r *reader) end() error {
	tok, err := r.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return &SyntaxError{Offset: r.dec.InputOffset(), Detail: fmt.Sprintf("%.20q after the document", fmt.Sprint(tok))}
}

func (r *reader) text(path string, to *string) error {
	tok, err := r.token()
	if err != nil {
		return err
	}
	s, ok := tok.(string)
	if !ok {
		return wrong(path, tok, "a text")
	}
	*to = s
	return nil
}

// name reads a text that is bounded like the name of a tenant.
func (r *reader) name(path string, to *string) error {
	if err := r.text(path, to); err != nil {
		return err
	}
	if len(*to) > rrconf.MaxNameBytes {
		return wrong(path, *to, fmt.Sprintf("at most %d bytes", rrconf.MaxNameBytes))
	}
	return nil
}

func (r *reader) bool(path string, to *bool) error {
	tok, err := r.token()
	if err != nil {
		return err
	}
	b, ok := tok.(bool)
	if !ok {
		return wrong(path, tok, "true or false")
	}
	*to = b
	return nil
}

func (r *reader) number(path, want string) (json.Number, error) {
	tok, err := r.token()
	if err != nil {
		return "", err
	}
	n, ok := tok.(json.Number)
	if !ok {
		return "", wrong(path, tok, want)
	}
	return n, nil
}

func (r *reader) uint(path string, to *uint64) error {
	const want = "a whole number, 0 or above"
	n, err := r.number(path, want)
	if err != nil {
		return err
	}
	v, err := strconv.ParseUint(n.String(), 10, 64)
	if err != nil {
		return wrong(path, n, want)
	}
	*to = v
	return nil
}

func (r *reader) int(path string, to *int) error {
	const want = "a whole number"
	n, err := r.number(path, want)
	if err != nil {
		return err
	}
	v, err := strconv.ParseInt(n.String(), 10, 32)
	if err != nil {
		return wrong(path, n, want)
	}
	*to = int(v)
	return nil
}

func (r *reader) float(path string, to *float64) error {
	n, err := r.number(path, "a number")
	if err != nil {
		return err
	}
	v, err := n.Float64()
	if err != nil || math.IsInf(v, 0) {
		return wrong(path, n, "a number")
	}
	*to = v
	return nil
}

func (r *reader) duration(path string, to *time.Duration) error {
	var s string
	if err := r.text(path, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return wrong(path, s, `a duration such as "20s"`)
	}
	*to = v
	return nil
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// maxShown bounds the part of a value that an error repeats, in bytes.
const maxShown = 40

func wrong(path string, value any, want string) error {
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
	if len(shown) > maxShown {
		shown = shown[:maxShown] + "…"
	}
	return &rrconf.FieldError{Field: path, Value: shown, Allowed: want}
}
