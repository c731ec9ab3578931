package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cherryward/cherryward/standin/site"
)

const (
	// headerLimit is the limit of the stand-in's configuration on the header of a request, and headRoom what the long
	// requests of this case stay below it, their request line and all line ends included.
	headerLimit = 16384
	headRoom    = 32
	// calmTime is how long the cut lasts before requests are judged: more than the time after which a machine counts
	// as in touch.
	calmTime = 5 * time.Second
	// requests is the number of long requests, and of short ones beside them.
	requests = 60
	// allowedRefusals and refusalShare are what the rule allows of all requests.
	allowedRefusals = 5
	refusalShare    = 500
	// firstServer is the place of the servers among the listeners of a site: after the store and the store of KV cache.
	firstServer = 2
)

// longHeaders cuts one node off from all servers, so that it passes its requests to another node. Requests whose header
// is within the configured limit must not be refused because of its length.
func longHeaders(w *world) (broken bool, err error) {
	var listeners []string
	w.site, err = site.Start(site.Config{
		HeartbeatInterval: time.Second, EventInterval: 5 * time.Millisecond,
		Proxy: func(addr string) (string, error) { listeners = append(listeners, addr); return addr, nil },
	})
	if err != nil {
		return false, err
	}
	w.site.Configure(1, key)
	links := make(map[string]*link)
	for _, addr := range listeners[firstServer:] {
		if links[addr], err = w.newLink(addr); err != nil {
			return false, err
		}
	}
	view, err := w.viewOf(listeners[0], links)
	if err != nil {
		return false, err
	}
	cut, err := w.start("edge-hall-north-1", strings.Replace(w.site.BootFile("edge-hall-north-1"), listeners[0], view, 1))
	if err != nil {
		return false, err
	}
	for _, name := range []string{"edge-hall-north-2", "edge-hall-east-1"} {
		if _, err := w.start(name, w.site.BootFile(name)); err != nil {
			return false, err
		}
	}
	if w.trouble {
		for _, l := range links {
			l.cut()
		}
		w.logf("the first node is cut off from all servers: connections are refused")
	}
	if err := w.awaitServing(cut); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	return w.sendHeaders(cut)
}

// sendHeaders sends short and long requests by turns, and reports whether too many of them were refused.
func (w *world) sendHeaders(n *node) (broken bool, err error) {
	counts := make(map[string]int)
	refused := 0
	for i := range requests {
		for _, long := range []bool{false, true} {
			id := fmt.Sprintf("request-%d-%v", i, long)
			status, size, err := w.sendHeader(n, id, long)
			if err != nil {
				return false, err
			}
			w.logf("%s sent to %s: %d bytes of header, status %d", id, n.name, size, status)
			counts[fmt.Sprintf("long %v, status %d", long, status)]++
			if status >= http.StatusMultipleChoices && status < http.StatusInternalServerError {
				refused++
			}
		}
	}
	w.logf("%v", counts)
	w.logf("the plain server ran %d requests", len(w.site.Plain.Runs()))
	allowed := allowedRefusals + 2*requests/refusalShare
	w.logf("%d refused with a status of 3xx or 4xx; %d are allowed", refused, allowed)
	return refused > allowed, nil
}

// sendHeader sends a request, if long with a header that is headRoom shorter than the limit.
func (w *world) sendHeader(n *node, id string, long bool) (status, size int, err error) {
	req, err := site.Request(context.Background(), n.addr, http.MethodPost, site.PathLookup, key, id, "")
	if err != nil {
		return 0, 0, err
	}
	if long {
		const padding = "Padding"
		req.Header.Set(padding, "")
		head, err := httputil.DumpRequestOut(req, false)
		if err != nil {
			return 0, 0, err
		}
		req.Header.Set(padding, strings.Repeat("a", headerLimit-headRoom-len(head)))
	}
	head, err := httputil.DumpRequestOut(req, false)
	if err != nil {
		return 0, 0, err
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the status decides
	return resp.StatusCode, len(head), nil
}

// link is the way from one node to a server, which can be cut.
type link struct {
	addr, target string
	listener     net.Listener
	mu           sync.Mutex
	conns        []net.Conn
}

func (w *world) newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	made := &link{addr: l.Addr().String(), target: target, listener: l}
	if len(made.addr) != len(target) {
		return nil, fmt.Errorf("ports of %s and %s differ in length", made.addr, target)
	}
	go made.accept()
	w.onClose(made.cut)
	return made, nil
}

func (l *link) accept() {
	for {
		front, err := l.listener.Accept()
		if err != nil {
			return
		}
		back, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = front.Close()
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, front, back)
		l.mu.Unlock()
		go pipe(front, back)
		go pipe(back, front)
	}
}

func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from) // ends with either connection
	_ = to.Close()
	_ = from.Close()
}

// cut closes the listener and all connections.
func (l *link) cut() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// viewOf returns the address of a proxy to the metadata store in whose responses the servers have the addresses of
// their links. The addresses are of the same length, as records are.
func (w *world) viewOf(store string, links map[string]*link) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	forward.ErrorLog = w.silent()
	forward.ModifyResponse = func(resp *http.Response) error {
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		data = relink(data, links)
		resp.Header.Set("Content-Length", strconv.Itoa(len(data)))
		resp.ContentLength = int64(len(data))
		resp.Body = io.NopCloser(bytes.NewReader(data))
		return nil
	}
	served := &http.Server{Handler: forward, ErrorLog: w.silent()}
	go func() { _ = served.Serve(l) }()
	w.onClose(func() { _ = served.Close() })
	return l.Addr().String(), nil
}

// relink replaces the servers' addresses in a response: in plain text, or in base64 in a list of items.
func relink(data []byte, links map[string]*link) []byte {
	var list map[string]any
	if json.Unmarshal(data, &list) != nil || list["items"] == nil {
		return replaceAddrs(data, links)
	}
	for _, entry := range list["items"].([]any) {
		item := entry.(map[string]any)
		value, err := base64.StdEncoding.DecodeString(fmt.Sprint(item["value"]))
		if err == nil {
			item["value"] = base64.StdEncoding.EncodeToString(replaceAddrs(value, links))
		}
	}
	changed, err := json.Marshal(list)
	if err != nil {
		return data
	}
	return changed
}

func replaceAddrs(data []byte, links map[string]*link) []byte {
	for addr, l := range links {
		data = bytes.ReplaceAll(data, []byte(addr), []byte(l.addr))
	}
	return data
}
