package rrminion

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"rattanring/core/rrcode"
)

// FuzzAnswer parses arbitrary bytes as a minion's answer. The result may be of the
// class not run only if the header Rattanring-Started says so.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ncut"))
	f.Add([]byte("HTTP/1.1 429 No\r\nRattanring-Started: no\r\nRattanring-Leaving: yes\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 500 No\r\nRattanring-Usage: 1,2,x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer)), &http.Request{Method: http.MethodPost})
		if err != nil {
			return
		}
		defer res.Body.Close()
		notStarted := res.Header.Get("Rattanring-Started") == "no"
		c := &Client{MaxAnswerBytes: 1 << 10}
		got := c.parseAnswer(newDispatch("127.0.0.1:0"), res).Result
		if got.Code.Class() == rrcode.ClassNotRun && !notStarted {
			t.Errorf("got %v from %q, which has no header that says that the task has not started", got.Code, answer)
		}
		if got.Code == rrcode.Complete && res.StatusCode != http.StatusOK {
			t.Errorf("got complete from status %d", res.StatusCode)
		}
	})
}
