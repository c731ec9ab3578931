package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	otherAccount, otherKey = "mill", "mill-key"
	// applyTime is more than the 2 s (config-apply-ms) that nodes have to apply a configuration.
	applyTime = 5 * time.Second
	// promptsEach is the number of prompts that each account sends.
	promptsEach = 9
)

// accounts writes a version of the configuration with two accounts, the first of which may be isolated. The
// write is acknowledged when it returns.
func (w *world) accounts(version int64, isolated bool) error {
	w.site.Configure(version, key)
	var config map[string]any
	if err := json.Unmarshal(w.site.Store.Newest(platform.TopicOperator, "config"), &config); err != nil {
		return err
	}
	config["version"] = version + 1
	config["tenants"] = []any{
		map[string]any{"name": site.Account, "api-keys": []string{key}, "priority": 1, "isolated": isolated},
		map[string]any{"name": otherAccount, "api-keys": []string{otherKey}, "priority": 1},
	}
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	w.site.Store.Put(platform.TopicOperator, "config", data)
	w.log("configuration %d acknowledged, account %s isolated: %v", version+1, site.Account, isolated)
	return nil
}

// wall has an account send prompts, isolates it, and then has another account send prompts that begin with
// the same part.
func wall(w *world) error {
	names := strings.Fields(os.Getenv("HEADERS"))
	if len(names) != 3 {
		return fmt.Errorf("HEADERS must name three headers: of the account, the salt and the parts")
	}
	if err := w.startSite(site.Config{EventInterval: 10 * time.Millisecond}); err != nil {
		return err
	}
	if err := w.accounts(10, false); err != nil {
		return err
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
	if err := w.prompts(nodes, "first", key); err != nil {
		return err
	}
	isolated := w.trouble != "0"
	if err := w.accounts(20, isolated); err != nil {
		return err
	}
	time.Sleep(applyTime)
	isolatedFrom := time.Now()
	if err := w.prompts(nodes, "second", otherKey); err != nil {
		return err
	}
	if !isolated {
		isolatedFrom = time.Now().Add(time.Hour) // the rule speaks of isolated accounts only
	}
	return w.judgeWall(names, isolatedFrom)
}

// prompts sends prompts, one after the other, to the nodes in turn.
func (w *world) prompts(nodes []*node, name, key string) error {
	for i := range promptsEach {
		n := nodes[i%len(nodes)]
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("%s-%d", name, i)
		req, err := w.request(n, http.MethodPost, site.PathQuery, id, fmt.Sprintf("%s%d", name[:1], i))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+key)
		a := w.exchange(conn, req, id)
		conn.Close()
		if a.err != nil || a.status != http.StatusOK {
			return fmt.Errorf("%s: status %d, %v", id, a.status, a.err)
		}
	}
	return nil
}

// judgeWall fails if a run of the other account that began when the first was isolated found a part that the
// first account's runs had left at the same server. Servers find parts under the same salt, and this one's
// memory holds all of them.
func (w *world) judgeWall(names []string, isolatedFrom time.Time) error {
	broken := 0
	for _, s := range w.site.Models {
		type part struct{ salt, id string }
		made := make(map[part]*modelserver.Run)
		for _, r := range s.Runs() {
			account, salt := r.Header.Get(names[0]), r.Header.Get(names[1])
			w.log("%s runs %s of account %s, salt %q, parts %s", s.ID(), r.Request, account, salt, r.Header.Get(names[2]))
			for entry := range strings.SplitSeq(r.Header.Get(names[2]), ",") {
				id, _, _ := strings.Cut(entry, ":")
				p := part{salt, id}
				maker := made[p]
				if maker == nil {
					run := r
					made[p] = &run
					break // the parts behind one that is read are read
				}
				if account == otherAccount && r.At.After(isolatedFrom) && maker.Header.Get(names[0]) == site.Account {
					broken++
					w.log("WALL: %s of account %s uses part %s, which %s of account %s made", r.Request, account, id, maker.Request, site.Account)
				}
			}
		}
	}
	w.log("%d uses of parts that the isolated account made", broken)
	if broken > 0 {
		return fmt.Errorf("WALL: %w", errBroken)
	}
	return nil
}
