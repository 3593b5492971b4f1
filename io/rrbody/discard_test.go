package rrbody

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// post sends a request like a simple client, which writes the whole request before it
// reads the response.
func post(addr, header string, length int, body []byte) (int, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", length, header); err != nil {
		return 0, err
	}
	if _, err := c.Write(body); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	return res.StatusCode, nil
}

// TestDiscard checks that a client gets the response when the server refuses its body
// of 20 MB, and that a client with the header Expect gets it without sending the body.
func TestDiscard(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Discard(w, r)
		http.Error(w, "too long", http.StatusRequestEntityTooLarge)
	}))
	defer s.Close()
	const length = 20 << 20
	for _, tc := range []struct {
		name, header string
		body         []byte
	}{
		{"sends", "", make([]byte, length)},
		{"asks first", "Expect: 100-continue\r\n", nil},
	} {
		got, err := post(s.Listener.Addr().String(), tc.header, length, tc.body)
		if want := http.StatusRequestEntityTooLarge; got != want {
			t.Errorf("%s: got status %d and %v, want %d", tc.name, got, err, want)
		}
	}
}
