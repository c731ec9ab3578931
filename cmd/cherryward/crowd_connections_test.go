//go:build crowd

package main

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cherryward/cherryward/standin/site"
)

// TestCrowdOfIdleConnections guards against connections that stay open after a good request and take all descriptors.
func TestCrowdOfIdleConnections(t *testing.T) {
	filesCrowd(func(c net.Conn, _ int) error {
		if err := send(c, head(http.MethodGet, site.PathLookup, crowdID()), "\r\n"); err != nil {
			return err
		}
		return readAnswer(bufio.NewReader(c))
	}).run(t)
}

// TestCrowdOfRefusedConnections guards against connections that stay open after a refused request.
func TestCrowdOfRefusedConnections(t *testing.T) {
	filesCrowd(func(c net.Conn, _ int) error {
		if err := send(c, head(http.MethodGet, "/unknown/", crowdID()), "\r\n"); err != nil {
			return err
		}
		return readAnswer(bufio.NewReader(c))
	}).run(t)
}

// TestCrowdOfConnectionsThatDoNotRead guards against connections whose answers stay unread and that take all descriptors.
func TestCrowdOfConnectionsThatDoNotRead(t *testing.T) {
	filesCrowd(pipelineLookups).run(t)
}

// TestCrowdOfSilentConnections guards against connections that send nothing and take all descriptors.
func TestCrowdOfSilentConnections(t *testing.T) {
	filesCrowd(func(c net.Conn, _ int) error { return awaitByte(c) }).run(t)
}

// slowInterval is the time between two bytes of a slow client.
const slowInterval = 500 * time.Millisecond

// trickle writes a text byte by byte.
func trickle(c net.Conn, text string) error {
	for i := range len(text) {
		if err := send(c, text[i:i+1]); err != nil {
			return err
		}
		time.Sleep(slowInterval)
	}
	return nil
}

// TestCrowdOfSlowHeads guards against heads that come byte by byte and take all descriptors.
func TestCrowdOfSlowHeads(t *testing.T) {
	filesCrowd(func(c net.Conn, _ int) error { return trickle(c, head(http.MethodGet, site.PathLookup, crowdID())) }).run(t)
}

// TestCrowdOfSlowBodies guards against bodies that come byte by byte and take all descriptors.
func TestCrowdOfSlowBodies(t *testing.T) {
	filesCrowd(func(c net.Conn, _ int) error {
		if err := send(c, head(http.MethodPost, site.PathUpload, crowdID()), "Content-Length: 1000\r\n\r\n"); err != nil {
			return err
		}
		return trickle(c, strings.Repeat("x", 1000))
	}).run(t)
}

// TestCrowdOfLongIDs guards against long ids, all different, that are kept.
func TestCrowdOfLongIDs(t *testing.T) {
	filler := strings.Repeat("x", 7<<10)
	tightCrowd(func(c net.Conn, _ int) error {
		return askForever(c, func() string { return head(http.MethodGet, site.PathLookup, filler+crowdID()) + "\r\n" })
	}).run(t)
}

// TestCrowdOfLongPaths guards against long paths, all different, that are kept.
func TestCrowdOfLongPaths(t *testing.T) {
	filler := strings.Repeat("x", 5<<10)
	tightCrowd(func(c net.Conn, _ int) error {
		return askForever(c, func() string {
			id := crowdID()
			return head(http.MethodGet, site.PathLookup+filler+id, id) + "\r\n"
		})
	}).run(t)
}
