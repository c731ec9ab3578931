// Package settings reads and validates a node's settings file.
//
// The file is JSON. schema.json documents every field and is validated first; rules that
// a schema can't express, such as conflicting addresses, are checked in code. Every
// problem is reported with its result code and the path of its field.
package settings

import (
	_ "embed"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/placement"
)

// Settings holds the settings of one node.
type Settings struct {
	Node        Node        `json:"node"`
	Callers     Listener    `json:"callers"`
	Operators   Operator    `json:"operators"`
	Peers       Peers       `json:"peers"`
	Log         Log         `json:"log"`
	Hosts       Hosts       `json:"hosts"`
	Requests    Requests    `json:"requests"`
	Limits      Limits      `json:"limits"`
	KeptContext KeptContext `json:"kept_context"`
	Logging     Logging     `json:"logging"`
}

// Node identifies the node.
type Node struct {
	ID            string   `json:"id"`
	FailureDomain string   `json:"failure_domain"`
	StopTimeout   Duration `json:"stop_timeout"`
}

// Listener is an address to listen on. It uses TLS if a certificate is set.
type Listener struct {
	Address string `json:"address"`
	TLS     *TLS   `json:"tls,omitempty"`
}

// TLS holds the paths of the PEM files of a certificate and its key.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	// AuthorityFile has the certificate authorities that are trusted for peers'
	// certificates.
	AuthorityFile string `json:"authority_file,omitempty"`
}

// Operator is the operators' listener and the SHA-256 hash of their bearer credential.
type Operator struct {
	Listener
	KeyHash string `json:"key_hash"`
}

// Peers is the listener for the other nodes and the key that all nodes share.
type Peers struct {
	Listener
	// Advertise is the address that other nodes connect to. Default: Address.
	Advertise string `json:"advertise,omitempty"`
	Key       string `json:"key"`
}

// Log configures access to the platform's log service.
type Log struct {
	URL    string `json:"url"`
	Stream string `json:"stream"`
}

// Hosts configures access to the platform's list of hosts.
type Hosts struct {
	URL          string   `json:"url"`
	PollInterval Duration `json:"poll_interval"`
}

// Requests sets limits and timeouts for callers' requests.
type Requests struct {
	MaxBodyBytes    int64    `json:"max_body_bytes"`
	DefaultTimeout  Duration `json:"default_timeout"`
	MaxTimeout      Duration `json:"max_timeout"`
	EstimateTimeout Duration `json:"estimate_timeout"`
	MaxConfigAge    Duration `json:"max_config_age"`
	DrainGrace      Duration `json:"drain_grace"`
}

// Limits configures how nodes share client accounts' limits.
type Limits struct {
	// MaxNodes is the maximum number of nodes that run at the same time. Default 16.
	// It must be equal on all nodes, since an account's static share is divided by it.
	MaxNodes int `json:"max_nodes"`
}

// KeptContext configures when contexts are exported to store hosts.
type KeptContext struct {
	// ExportAfter is the time between a turn and the decision whether to export its
	// context. Default 2m, which suits conversations whose turns are minutes
	// to days apart.
	ExportAfter Duration `json:"export_after"`
}

// Logging configures the log output.
type Logging struct {
	Level string `json:"level"`
}

// Default returns the values of the fields that a settings file omits.
func Default() Settings {
	return Settings{
		Node:        Node{StopTimeout: Duration(2 * time.Minute)},
		Log:         Log{Stream: "cherryward"},
		Hosts:       Hosts{PollInterval: Duration(time.Second)},
		Requests:    defaultRequests(),
		Limits:      Limits{MaxNodes: 16},
		KeptContext: KeptContext{ExportAfter: Duration(placement.ExportAfter)},
		Logging:     Logging{Level: "info"},
	}
}

func defaultRequests() Requests {
	return Requests{
		MaxBodyBytes:    8 << 20,
		DefaultTimeout:  Duration(5 * time.Minute),
		MaxTimeout:      Duration(30 * time.Minute),
		EstimateTimeout: Duration(8 * time.Millisecond),
		MaxConfigAge:    Duration(2 * time.Hour),
		DrainGrace:      Duration(2 * time.Second),
	}
}

// Duration is a time.Duration that is encoded as text such as "1.5s" or "20ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Load reads and validates a settings file. The error is of type Problems if the file
// can be read but is not valid.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse validates a settings file's contents and returns the settings, with defaults for
// omitted fields.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	if problems := checker.Decode(data, &s); len(problems) > 0 {
		return nil, problems
	}
	if problems := checkValues(&s); len(problems) > 0 {
		return nil, problems
	}
	return &s, nil
}
