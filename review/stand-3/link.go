package main

import (
	"net"
	"sync"
)

// link is a proxy of one path, which can be cut.
type link struct {
	addr, to string
	mu       sync.Mutex
	conns    map[net.Conn]bool
	cut      bool
}

func startLink(addr, to string) (*link, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	l := &link{addr: addr, to: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

func (l *link) serve(c net.Conn) {
	defer c.Close()
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut {
		return
	}
	d, err := net.Dial("tcp4", l.to)
	if err != nil {
		return
	}
	defer d.Close()
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	go func() {
		defer c.Close()
		defer d.Close()
		pipe(d, c)
	}()
	pipe(c, d)
}

func pipe(to, from net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// setCut cuts the path, by resets, or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}
