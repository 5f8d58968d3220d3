// Package setup reads the settings of one node from an INI file.
//
// Missing keys get their defaults, and all findings are reported together.
// docs/OPERATING.md lists every key with its unit.
//
// It also holds the settings of a host on the prepared platform, the users'
// site with its own object store, hosts and settings file (see
// docs/OPERATIONS.md). Package platform reads them from that file.
//
// # Usage
//
//	node, err := setup.Load("node.ini")
//	node.HTTPAddress() // "127.0.0.11:7480"
package setup

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"gopkg.in/ini.v1"

	"github.com/currantloft/currantloft/finds"
)

const (
	defaultHTTPPort               = 7480
	defaultPeerPort               = 7400
	defaultHeartbeat              = time.Second
	defaultAddressLifetime        = 5 * time.Second
	defaultDrainTimeout           = 10 * time.Minute
	defaultPlatformCallsPerSecond = 20
	defaultPlatformBurst          = 60
	maxPort                       = 65535
	minDuration                   = 50 * time.Millisecond
)

type (
	// Node holds the checked settings of one node.
	Node struct {
		name                   string
		domain                 string
		region                 string
		dataDir                string
		ip                     string
		httpPort               int
		peerPort               int
		advertisedPeerAddress  string
		seeds                  []string
		platformURL            string
		platformCallsPerSecond float64
		platformBurst          int
		heartbeat              time.Duration
		addressLifetime        time.Duration
		drainTimeout           time.Duration
		logLevel               string
		profile                bool
	}

	// settingsReader reads typed values from a file and collects findings.
	settingsReader struct {
		file     string
		doc      *ini.File
		findings finds.List
	}
)

var knownKeys = map[string][]string{
	"node":     {"name", "domain", "region", "data_dir", "log_level", "profile"},
	"listen":   {"ip", "http_port", "peer_port", "advertised_peer"},
	"peers":    {"seeds"},
	"platform": {"url", "calls_per_second", "burst"},
	"timing":   {"heartbeat", "address_lifetime", "drain_timeout"},
}

// Load reads and checks the settings file at path.
func Load(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading node settings: %w", err)
	}
	return Parse(path, data)
}

// Parse parses and checks the settings in data; findings name them as file.
func Parse(file string, data []byte) (*Node, error) {
	doc, err := ini.Load(data)
	if err != nil {
		return nil, fmt.Errorf("parsing node settings %s: %w", file, err)
	}
	r := &settingsReader{file: file, doc: doc}
	r.checkKeys()
	n := &Node{
		name:                   r.text("node", "name", ""),
		domain:                 r.text("node", "domain", ""),
		region:                 r.text("node", "region", "main"),
		dataDir:                doc.Section("node").Key("data_dir").String(),
		logLevel:               r.text("node", "log_level", "info"),
		profile:                doc.Section("node").Key("profile").MustBool(false),
		ip:                     r.text("listen", "ip", ""),
		httpPort:               r.port("listen", "http_port", defaultHTTPPort),
		peerPort:               r.port("listen", "peer_port", defaultPeerPort),
		advertisedPeerAddress:  doc.Section("listen").Key("advertised_peer").String(),
		seeds:                  doc.Section("peers").Key("seeds").Strings(","),
		platformURL:            r.text("platform", "url", ""),
		platformCallsPerSecond: float64(r.number("platform", "calls_per_second", defaultPlatformCallsPerSecond)),
		platformBurst:          r.number("platform", "burst", defaultPlatformBurst),
		heartbeat:              r.duration("timing", "heartbeat", defaultHeartbeat),
		addressLifetime:        r.duration("timing", "address_lifetime", defaultAddressLifetime),
		drainTimeout:           r.duration("timing", "drain_timeout", defaultDrainTimeout),
	}
	r.checkIP(n.ip)
	if err := r.findings.Err(); err != nil {
		return nil, fmt.Errorf("checking node settings: %w", err)
	}
	return n, nil
}

// Name returns the node's name, unique in the fleet.
func (n *Node) Name() string { return n.name }

// Domain returns the failure domain.
func (n *Node) Domain() string { return n.domain }

// Region returns the region.
func (n *Node) Region() string { return n.region }

// DataDir returns the data folder, empty if the node uses no disk.
func (n *Node) DataDir() string { return n.dataDir }

// LogLevel returns the lowest level that is logged.
func (n *Node) LogLevel() string { return n.logLevel }

// Profile reports whether the node serves runtime profiles.
func (n *Node) Profile() bool { return n.profile }

// HTTPAddress returns the listen address for callers, trainers and operators.
func (n *Node) HTTPAddress() string { return net.JoinHostPort(n.ip, strconv.Itoa(n.httpPort)) }

// PeerAddress returns the listen address for other nodes.
func (n *Node) PeerAddress() string { return net.JoinHostPort(n.ip, strconv.Itoa(n.peerPort)) }

// AdvertisedPeerAddress returns the address that is announced to other nodes.
func (n *Node) AdvertisedPeerAddress() string {
	if n.advertisedPeerAddress != "" {
		return n.advertisedPeerAddress
	}
	return n.PeerAddress()
}

// Seeds returns the peer addresses that the node contacts to join the fleet.
func (n *Node) Seeds() []string { return n.seeds }

// PlatformURL returns the base URL of the platform's object API.
func (n *Node) PlatformURL() string { return n.platformURL }

// PlatformRateLimit returns the rate limit of platform calls, in calls per second,
// and its burst.
func (n *Node) PlatformRateLimit() (float64, int) { return n.platformCallsPerSecond, n.platformBurst }

// Heartbeat returns the time between two heartbeats on a link.
func (n *Node) Heartbeat() time.Duration { return n.heartbeat }

// AddressLifetime returns how long callers may cache looked-up addresses.
func (n *Node) AddressLifetime() time.Duration { return n.addressLifetime }

// DrainTimeout returns how long a graceful stop waits for requests in flight.
func (n *Node) DrainTimeout() time.Duration { return n.drainTimeout }

func (r *settingsReader) report(section, key, format string, args ...any) {
	r.findings.Add(finds.Position{File: r.file, Key: section + "." + key}, format, args...)
}

func (r *settingsReader) checkKeys() {
	for _, section := range r.doc.Sections() {
		keys, ok := knownKeys[section.Name()]
		if !ok && section.Name() != ini.DefaultSection {
			r.findings.Add(finds.Position{File: r.file, Key: section.Name()}, "unknown section")
			continue
		}
		for _, key := range section.Keys() {
			if !slices.Contains(keys, key.Name()) {
				r.report(section.Name(), key.Name(), "unknown key")
			}
		}
	}
}

func (r *settingsReader) text(section, key, fallback string) string {
	value := r.doc.Section(section).Key(key).String()
	if value == "" {
		value = fallback
	}
	if value == "" {
		r.report(section, key, "want a value")
	}
	return value
}

func (r *settingsReader) number(section, key string, fallback int) int {
	text := r.doc.Section(section).Key(key).String()
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 {
		r.report(section, key, "want a whole number above 0, got %q", text)
		return fallback
	}
	return value
}

func (r *settingsReader) port(section, key string, fallback int) int {
	value := r.number(section, key, fallback)
	if value > maxPort {
		r.report(section, key, "want a port up to %d, got %d", maxPort, value)
	}
	return value
}

func (r *settingsReader) duration(section, key string, fallback time.Duration) time.Duration {
	text := r.doc.Section(section).Key(key).String()
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < minDuration {
		r.report(section, key, "want a duration such as 500ms or 10s, at least %s, got %q", minDuration, text)
		return fallback
	}
	return value
}

func (r *settingsReader) checkIP(ip string) {
	if ip != "" && net.ParseIP(ip) == nil {
		r.report("listen", "ip", "want an IP address, got %q", ip)
	}
}
