package rrentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"testing"
	"time"

	"rattanring/io/rrplatform"
	"rattanring/io/rrsettings"
)

// Clients that hold idle connections must not use up the descriptors of an entry, nor keep others out.
func TestConnectionLimit(t *testing.T) {
	const limit, clients = 16, 100
	web := httptest.NewServer((&rrplatform.Platform{}).Handler())
	defer web.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings := rrsettings.Default()
	settings.Name, settings.Zone, settings.MaxConns = "entry-0", "bangor", limit
	settings.StoreURL, settings.InstanceListURL = web.URL, web.URL
	stop := serveUntil(t, settings, ln)
	defer stop()
	for range clients {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v, want the response to an ordinary request", res, err)
		}
	}
	res, err := http.Get(fmt.Sprintf("http://%s/metrics", ln.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`rr_intake_connections\{port="entry"\} (\d+)`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("the metric is missing in\n%s", text)
	}
	if got, _ := strconv.Atoi(string(m[1])); got > limit {
		t.Errorf("got %d open connections, want at most %d", got, limit)
	}
}
