// Package storehttp implements kvcache.Store over the store hosts' HTTP protocol. It
// does not transfer block contents; engines do that themselves.
//
// Guarantee: ErrExists and ErrNotFound are returned only if the store host reported
// them. After any other error the call may have taken effect; it may be repeated.
package storehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cherryward/cherryward/api/wire/storewire"
	"github.com/cherryward/cherryward/internal/kvcache"
)

const (
	maxResponseBytes = 16 << 20
	// afterAllNameChars sorts after all characters allowed in block names.
	afterAllNameChars = "~"
)

// Client calls the HTTP API of one store host. Calls end when their context does.
type Client struct {
	base string
	http *http.Client
}

var _ kvcache.Store = (*Client)(nil)

// NewClient returns a client for the store host at the base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: client}
}

// ListManifests returns a page of manifests ordered by key.
func (c *Client) ListManifests(ctx context.Context, after string, limit int) (kvcache.ManifestPage, error) {
	var list storewire.ManifestList
	if err := c.get(ctx, listPath(storewire.PathManifests, after, limit), &list); err != nil {
		return kvcache.ManifestPage{}, err
	}
	page := kvcache.ManifestPage{Generation: list.Generation, More: list.More}
	for _, m := range list.Manifests {
		page.Manifests = append(page.Manifests, fromWire(m))
	}
	return page, nil
}

// ListBlocks returns a page of blocks ordered by name.
func (c *Client) ListBlocks(ctx context.Context, after string, limit int) (kvcache.BlockPage, error) {
	var list storewire.BlockList
	if err := c.get(ctx, listPath(storewire.PathBlocks, after, limit), &list); err != nil {
		return kvcache.BlockPage{}, err
	}
	page := kvcache.BlockPage{Generation: list.Generation, More: list.More}
	for _, b := range list.Blocks {
		page.Blocks = append(page.Blocks, infoFromWire(b))
	}
	return page, nil
}

// Manifest returns one manifest.
func (c *Client) Manifest(ctx context.Context, key string) (kvcache.Manifest, error) {
	var m storewire.Manifest
	if err := c.get(ctx, itemPath(storewire.PathManifests, key), &m); err != nil {
		return kvcache.Manifest{}, err
	}
	return fromWire(m), nil
}

// PutManifest publishes a manifest if its key has none; otherwise it returns
// ErrExists.
func (c *Client) PutManifest(ctx context.Context, m kvcache.Manifest) error {
	body, err := json.Marshal(toWire(m))
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPut, itemPath(storewire.PathManifests, m.Key), body, nil)
}

// DeleteManifest deletes the key's manifest if it refers to the named block.
func (c *Client) DeleteManifest(ctx context.Context, key, name string) error {
	query := url.Values{"block": {name}}
	return c.call(ctx, http.MethodDelete, itemPath(storewire.PathManifests, key)+"?"+query.Encode(), nil, nil)
}

// BlockInfo returns the store host's description of a block. The protocol has no
// call for a single block, so BlockInfo lists one block, starting just before name.
func (c *Client) BlockInfo(ctx context.Context, name string) (kvcache.BlockInfo, error) {
	if name == "" {
		return kvcache.BlockInfo{}, kvcache.ErrNotFound
	}
	page, err := c.ListBlocks(ctx, nameBefore(name), 1)
	if err != nil {
		return kvcache.BlockInfo{}, err
	}
	if len(page.Blocks) == 0 || page.Blocks[0].Name != name {
		return kvcache.BlockInfo{}, kvcache.ErrNotFound
	}
	return page.Blocks[0], nil
}

// nameBefore returns a string that sorts before name and after all smaller names of
// letters, digits and dashes.
func nameBefore(name string) string {
	last := len(name) - 1
	return name[:last] + string(name[last]-1) + afterAllNameChars
}

// DeleteBlock deletes a block. Its name cannot be used again.
func (c *Client) DeleteBlock(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodDelete, itemPath(storewire.PathBlocks, name), nil, nil)
}

// Usage returns the store host's used and total space.
func (c *Client) Usage(ctx context.Context) (kvcache.Usage, error) {
	var u storewire.Usage
	if err := c.get(ctx, storewire.PathUsage, &u); err != nil {
		return kvcache.Usage{}, err
	}
	return kvcache.Usage{
		Generation: u.Generation,
		Used:       u.Memory.Used + u.Disk.Used,
		Capacity:   u.Memory.Capacity + u.Disk.Capacity,
	}, nil
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// call makes one HTTP request and decodes the response into out unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	respBody := io.LimitReader(resp.Body, maxResponseBytes)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return responseError(resp.StatusCode, respBody)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, respBody)
		return err
	}
	return json.NewDecoder(respBody).Decode(out)
}

// responseError returns the error for an unsuccessful response.
func responseError(status int, body io.Reader) error {
	var e storewire.Error
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		return fmt.Errorf("store host: status %d", status)
	}
	switch e.Code {
	case storewire.ErrExists:
		return fmt.Errorf("%w: %s", kvcache.ErrExists, e.Message)
	case storewire.ErrNotFound:
		return fmt.Errorf("%w: %s", kvcache.ErrNotFound, e.Message)
	default:
		return fmt.Errorf("store host: %s: %s", e.Code, e.Message)
	}
}

func listPath(path, after string, limit int) string {
	query := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	return path + "?" + query.Encode()
}

func itemPath(path, item string) string { return path + "/" + url.PathEscape(item) }

func infoFromWire(b storewire.BlockInfo) kvcache.BlockInfo {
	tier := kvcache.TierMemory
	if b.Tier == storewire.TierDisk {
		tier = kvcache.TierDisk
	}
	return kvcache.BlockInfo{
		Name: b.Name, Bytes: b.Bytes, Checksum: b.Checksum, Complete: b.Complete,
		Tier: tier, Age: time.Duration(b.AgeMS) * time.Millisecond,
	}
}

func fromWire(m storewire.Manifest) kvcache.Manifest {
	return kvcache.Manifest{
		Key: m.Key, Parent: m.Parent, Index: m.Index, Name: m.Name, Block: m.Block,
		EndToken: m.EndToken, Bytes: m.Bytes, Checksum: m.Checksum,
		Identity: kvcache.Identity{Account: m.Account, Model: m.Model, Version: m.Version, Adapter: m.Adapter},
		Layout:   m.Layout,
	}
}

func toWire(m kvcache.Manifest) storewire.Manifest {
	return storewire.Manifest{
		Key: m.Key, Parent: m.Parent, Index: m.Index, Name: m.Name, Block: m.Block,
		EndToken: m.EndToken, Bytes: m.Bytes, Checksum: m.Checksum,
		Account: m.Account, Model: m.Model, Version: m.Version, Adapter: m.Adapter,
		Layout: m.Layout,
	}
}
