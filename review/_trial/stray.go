package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	// workTime is how long a plain server works on a request.
	workTime = 30 * time.Millisecond
	// strayShare is the share of answers after which a faulty server sends another one.
	strayShare = 0.03
	// strayTime and strayPause are the lengths of a spell of the fault and of the pause after it, and spells
	// is their number.
	strayTime, strayPause = 5 * time.Second, time.Second
	spells                = 8
	// uploadClients and uploadPause make 36 uploads a second.
	uploadClients, uploadPause = 24, 630 * time.Millisecond
)

// strayLink carries the connections to one plain server. While faulty is set, it adds a complete answer
// without the id of a request after a share of the answers. It arrives late: at the point where the next
// answer on the connection is expected.
type strayLink struct {
	w      *world
	name   string
	server string // address of the server
	stray  []byte
	faulty *atomic.Bool
	random func() float64
}

func (l *strayLink) serve(listener net.Listener) {
	for {
		front, err := listener.Accept()
		if err != nil {
			return // closed at the end of the case
		}
		go l.carry(front)
	}
}

func (l *strayLink) carry(front net.Conn) {
	defer front.Close()
	back, err := net.Dial("tcp", l.server)
	if err != nil {
		return
	}
	defer back.Close()
	buffer := make([]byte, 64<<10)
	answered := false
	for {
		n, err := front.Read(buffer)
		if err != nil {
			return
		}
		if answered && l.faulty.Load() && l.random() < strayShare {
			l.w.log("%s sends an answer that belongs to no request", l.name)
			if _, err := front.Write(l.stray); err != nil {
				return
			}
		}
		if _, err := back.Write(buffer[:n]); err != nil {
			return
		}
		// The requests and answers of this case are short: each arrives in one piece.
		if n, err = back.Read(buffer); err != nil {
			return
		}
		time.Sleep(workTime)
		if _, err := front.Write(buffer[:n]); err != nil {
			return
		}
		answered = true
	}
}

// addPlain starts another plain server behind a link and registers it.
func (w *world) addPlain(id string, link *strayLink) (*modelserver.Server, error) {
	server := modelserver.New(modelserver.Config{ID: id, Service: "plain", Zone: "north"})
	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(own, server.Handler()) }() // ends with the process
	published, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link.name, link.server = id, own.Addr().String()
	go link.serve(published)
	go func() {
		for {
			w.site.Store.Put(platform.TopicEndpoints, id, server.Entry(published.Addr().String(), "ready"))
			time.Sleep(heartbeatInterval)
		}
	}()
	return server, nil
}

// stray has one of three plain servers add answers that belong to no request, in spells, while clients
// upload.
func stray(w *world) error {
	text, err := os.ReadFile(os.Getenv("STRAY"))
	if err != nil {
		return err
	}
	if err := w.startSite(site.Config{EventInterval: 50 * time.Millisecond}); err != nil {
		return err
	}
	servers := []*modelserver.Server{w.site.Plain}
	var faulty atomic.Bool
	source := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Float64()
	}
	var sound atomic.Bool // never set
	for id, state := range map[string]*atomic.Bool{"plain-2": &sound, "plain-3": &faulty} {
		server, err := w.addPlain(id, &strayLink{w: w, stray: text, faulty: state, random: random})
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	var nodes []*node
	for _, name := range []string{"node-1", "node-2"} {
		n, err := w.startNode(name)
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	time.Sleep(2 * time.Second)
	u := &uploads{w: w, nodes: nodes, answers: make(map[string]int)}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range uploadClients {
		clients.Go(func() { u.client(i, done) })
	}
	for range spells {
		time.Sleep(strayPause)
		faulty.Store(w.trouble != "0")
		time.Sleep(strayTime)
		faulty.Store(false)
	}
	time.Sleep(strayPause)
	close(done)
	clients.Wait()
	return u.judge(servers)
}

// uploads are the requests of the clients with their statuses, 0 if the connection ended.
type uploads struct {
	w       *world
	nodes   []*node
	mu      sync.Mutex
	answers map[string]int
}

// client sends uploads over a kept connection until done is closed.
func (u *uploads) client(i int, done <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(uploadPause + time.Duration(rand.IntN(40)-20)*time.Millisecond):
		}
		id := fmt.Sprintf("c%d-%d", i, n)
		status := 0
		req, err := u.w.request(u.nodes[i%len(u.nodes)], http.MethodPost, site.PathUpload+id, id, "")
		if err == nil {
			var resp *http.Response
			if resp, err = client.Do(req); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				status = resp.StatusCode
			}
		}
		if err != nil {
			u.w.log("%s ended: %v", id, err)
		}
		u.mu.Lock()
		u.answers[id] = status
		u.mu.Unlock()
	}
}

// judge fails if an upload ran more than once. It also counts those that ran though their answers promise that
// they have not, which is another rule.
func (u *uploads) judge(servers []*modelserver.Server) error {
	ran := make(map[string][]string)
	for _, s := range servers {
		for _, r := range s.Runs() {
			ran[r.Request] = append(ran[r.Request], fmt.Sprintf("%s at %.3f s", s.ID(), r.At.Sub(u.w.began).Seconds()))
		}
	}
	statuses := make(map[int]int)
	twice, refused := 0, 0
	for id, status := range u.answers {
		statuses[status]++
		promise := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
			status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
		switch {
		case len(ran[id]) > 1:
			twice++
			u.w.log("TWICE: %s, answered %d, ran at %v", id, status, ran[id])
		case promise && len(ran[id]) > 0:
			refused++
			u.w.log("REFUSED: %s, answered %d, ran at %v", id, status, ran[id])
		}
	}
	u.w.log("%d uploads, by status %v; %d ran twice, %d ran though refused", len(u.answers), statuses, twice, refused)
	if twice > 0 {
		return fmt.Errorf("TWICE: %w", errBroken)
	}
	return nil
}
