//go:build crowd

package main

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cherryward/cherryward/scenarios/processtest"
	"github.com/cherryward/cherryward/standin/site"
)

const nearLimit = 63 << 10 // bytes of a head, just under the server's own limit

// TestCrowdOfHeadsWithoutEnd guards against heads of many short lines that never end.
func TestCrowdOfHeadsWithoutEnd(t *testing.T) {
	lines := processtest.ShortFields(nearLimit)
	memoryCrowd(func(c net.Conn, _ int) error {
		if err := send(c, head(http.MethodGet, site.PathLookup, crowdID()), lines); err != nil {
			return err
		}
		return awaitByte(c)
	}).run(t)
}

// TestCrowdOfHeadsOverTheLimit guards against heads over the limit that are complete, one after the other.
func TestCrowdOfHeadsOverTheLimit(t *testing.T) {
	lines := processtest.ShortFields(nearLimit)
	memoryCrowd(func(c net.Conn, _ int) error {
		return askForever(c, func() string { return head(http.MethodGet, site.PathLookup, crowdID()) + lines + "\r\n" })
	}).run(t)
}

// TestCrowdOfHeadsInsideTheLimit guards against heads that are inside the limit one by one and take the memory together.
func TestCrowdOfHeadsInsideTheLimit(t *testing.T) {
	lines := processtest.ShortFields(15 << 10)
	memoryCrowd(func(c net.Conn, _ int) error {
		return askForever(c, func() string { return head(http.MethodGet, site.PathLookup, crowdID()) + lines + "\r\n" })
	}).run(t)
}

// TestCrowdOfManyParts guards against prompts of as many parts as a head inside the limit can name.
func TestCrowdOfManyParts(t *testing.T) {
	parts := strings.Repeat("a:1,", (14<<10)/len("a:1,"))
	tightCrowd(func(c net.Conn, _ int) error {
		return askForever(c, func() string {
			prompt := head(http.MethodPost, site.PathQuery, crowdID()) + "X-Model: " + site.Model + "\r\nX-Token-Usage: 100,5\r\n"
			return prompt + "X-Prefix-Hash: " + parts + "b:1\r\nContent-Length: 0\r\n\r\n"
		})
	}).run(t)
}

// TestCrowdOfEmptyLines guards against empty lines without end before a request.
func TestCrowdOfEmptyLines(t *testing.T) {
	lines := strings.Repeat("\r\n", 32<<10)
	memoryCrowd(func(c net.Conn, _ int) error { return processtest.WriteForever(c, lines) }).run(t)
}

// TestCrowdOfOneLineWithoutEnd guards against a header line that never ends.
func TestCrowdOfOneLineWithoutEnd(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	memoryCrowd(func(c net.Conn, _ int) error {
		if err := send(c, head(http.MethodGet, site.PathLookup, crowdID()), "X-Long: "); err != nil {
			return err
		}
		return processtest.WriteForever(c, long)
	}).run(t)
}

// TestCrowdOfChunkExtensions guards against chunk extensions and trailers without end.
func TestCrowdOfChunkExtensions(t *testing.T) {
	memoryCrowd(func(c net.Conn, i int) error {
		if err := send(c, head(http.MethodPost, site.PathUpload, crowdID()), "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		if i%2 == 0 {
			return processtest.WriteForever(c, "1;"+strings.Repeat("e", 2<<10)+"\r\nx\r\n")
		}
		if err := send(c, "0\r\n"); err != nil {
			return err
		}
		return processtest.WriteForever(c, processtest.ShortFields(8<<10))
	}).run(t)
}
