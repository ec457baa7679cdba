package main

import (
	"io"
	"net"
	"time"
)

// chunk is the number of bytes that a link passes on at once.
const chunk = 1 << 10

// link is the link of a VM to the store: a proxy that passes on bitRate bits a second in all.
type link struct {
	listener net.Listener
	to       string
	turns    chan struct{} // paced: one for each chunk
}

// newLink starts a link to an address.
func newLink(to string, bitRate int) (l *link, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l = &link{listener: listener, to: to, turns: make(chan struct{})}
	go l.pace(bitRate)
	go l.serve()
	return l, nil
}

// pace grants turns at the rate of the link. It catches up after a late wake-up, for up to 20 ms.
func (l *link) pace(bitRate int) {
	each := time.Duration(chunk * 8 * int(time.Second) / bitRate)
	next := time.Now()
	for {
		next = next.Add(each)
		if behind := time.Since(next); behind > 20*time.Millisecond {
			next = time.Now()
		}
		time.Sleep(time.Until(next))
		l.turns <- struct{}{}
	}
}

func (l *link) serve() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(from)
	}
}

func (l *link) join(from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := net.Dial("tcp4", l.to)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		_, _ = io.Copy(to, from) // requests are small
	}()
	buffer := make([]byte, chunk)
	for {
		n, err := to.Read(buffer)
		if n > 0 {
			<-l.turns
			if _, err := from.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
