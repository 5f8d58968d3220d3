// Package setup reads the settings of one node from an INI file.
//
// Defaults are set in one pass, then the whole is checked, and all findings are
// reported together. docs/OPERATING.md lists every key with its unit.
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
	defaultHTTPPort        = 7480
	defaultPeerPort        = 7400
	defaultHeartbeat       = time.Second
	defaultAddressLifetime = 5 * time.Second
	defaultDrainTimeout    = 10 * time.Minute
	defaultPlatformRate    = 20
	defaultPlatformBurst   = 60
	maxPort                = 65535
	minHeartbeat           = 50 * time.Millisecond
)

type (
	// Node holds the checked settings of one node.
	Node struct {
		name            string
		domain          string
		region          string
		dataDir         string
		ip              string
		httpPort        int
		peerPort        int
		advertised      string
		seeds           []string
		platform        string
		platformRate    float64
		platformBurst   int
		heartbeat       time.Duration
		addressLifetime time.Duration
		drainTimeout    time.Duration
		logLevel        string
		profile         bool
	}

	// reader takes typed values out of a file and collects findings.
	reader struct {
		file string
		doc  *ini.File
		list finds.List
	}
)

var known = map[string][]string{
	"node":     {"name", "domain", "region", "data_dir", "log_level", "profile"},
	"listen":   {"ip", "http_port", "peer_port", "advertised_peer"},
	"peers":    {"seeds"},
	"platform": {"url", "calls_per_second", "burst"},
	"timing":   {"heartbeat", "address_lifetime", "drain_timeout"},
}

// Load reads and checks a file.
func Load(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading node settings: %w", err)
	}
	return Parse(path, data)
}

// Parse checks the settings in data; file names them in findings.
func Parse(file string, data []byte) (*Node, error) {
	doc, err := ini.Load(data)
	if err != nil {
		return nil, fmt.Errorf("parsing node settings %s: %w", file, err)
	}
	r := &reader{file: file, doc: doc}
	r.checkKeys()
	n := &Node{
		name:            r.text("node", "name", ""),
		domain:          r.text("node", "domain", ""),
		region:          r.text("node", "region", "main"),
		dataDir:         doc.Section("node").Key("data_dir").String(),
		logLevel:        r.text("node", "log_level", "info"),
		profile:         doc.Section("node").Key("profile").MustBool(false),
		ip:              r.text("listen", "ip", ""),
		httpPort:        r.port("listen", "http_port", defaultHTTPPort),
		peerPort:        r.port("listen", "peer_port", defaultPeerPort),
		advertised:      doc.Section("listen").Key("advertised_peer").String(),
		seeds:           doc.Section("peers").Key("seeds").Strings(","),
		platform:        r.text("platform", "url", ""),
		platformRate:    float64(r.number("platform", "calls_per_second", defaultPlatformRate)),
		platformBurst:   r.number("platform", "burst", defaultPlatformBurst),
		heartbeat:       r.span("timing", "heartbeat", defaultHeartbeat),
		addressLifetime: r.span("timing", "address_lifetime", defaultAddressLifetime),
		drainTimeout:    r.span("timing", "drain_timeout", defaultDrainTimeout),
	}
	r.checkIP(n.ip)
	if err := r.list.Err(); err != nil {
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

// DataDir returns the data folder, empty if the host has no disk to use.
func (n *Node) DataDir() string { return n.dataDir }

// LogLevel returns the lowest level that is logged.
func (n *Node) LogLevel() string { return n.logLevel }

// Profile reports whether the node serves profiles of itself.
func (n *Node) Profile() bool { return n.profile }

// HTTPAddress returns where callers, trainers and operators connect.
func (n *Node) HTTPAddress() string { return net.JoinHostPort(n.ip, strconv.Itoa(n.httpPort)) }

// PeerAddress returns where other nodes connect.
func (n *Node) PeerAddress() string { return net.JoinHostPort(n.ip, strconv.Itoa(n.peerPort)) }

// AdvertisedPeer returns the address that other nodes are told to connect to.
func (n *Node) AdvertisedPeer() string {
	if n.advertised != "" {
		return n.advertised
	}
	return n.PeerAddress()
}

// Seeds returns peer addresses to try first.
func (n *Node) Seeds() []string { return n.seeds }

// Platform returns the base address of the object API.
func (n *Node) Platform() string { return n.platform }

// PlatformBudget returns the allowed platform calls a second and their burst.
func (n *Node) PlatformBudget() (float64, int) { return n.platformRate, n.platformBurst }

// Heartbeat returns the time between two heartbeats on a link.
func (n *Node) Heartbeat() time.Duration { return n.heartbeat }

// AddressLifetime returns how long a caller may keep an address answer.
func (n *Node) AddressLifetime() time.Duration { return n.addressLifetime }

// DrainTimeout returns how long a planned stop waits for requests in flight.
func (n *Node) DrainTimeout() time.Duration { return n.drainTimeout }

func (r *reader) add(section, key, format string, args ...any) {
	r.list.Add(finds.Place{File: r.file, Key: section + "." + key}, format, args...)
}

func (r *reader) checkKeys() {
	for _, section := range r.doc.Sections() {
		keys, ok := known[section.Name()]
		if !ok && section.Name() != ini.DefaultSection {
			r.list.Add(finds.Place{File: r.file, Key: section.Name()}, "unknown section")
			continue
		}
		for _, key := range section.Keys() {
			if !slices.Contains(keys, key.Name()) {
				r.add(section.Name(), key.Name(), "unknown key")
			}
		}
	}
}

func (r *reader) text(section, key, fallback string) string {
	value := r.doc.Section(section).Key(key).String()
	if value == "" {
		value = fallback
	}
	if value == "" {
		r.add(section, key, "want a value")
	}
	return value
}

func (r *reader) number(section, key string, fallback int) int {
	text := r.doc.Section(section).Key(key).String()
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 {
		r.add(section, key, "want a whole number above 0, got %q", text)
		return fallback
	}
	return value
}

func (r *reader) port(section, key string, fallback int) int {
	value := r.number(section, key, fallback)
	if value > maxPort {
		r.add(section, key, "want a port up to %d, got %d", maxPort, value)
	}
	return value
}

func (r *reader) span(section, key string, fallback time.Duration) time.Duration {
	text := r.doc.Section(section).Key(key).String()
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < minHeartbeat {
		r.add(section, key, "want a duration such as 500ms or 10s, at least %s, got %q", minHeartbeat, text)
		return fallback
	}
	return value
}

func (r *reader) checkIP(ip string) {
	if ip != "" && net.ParseIP(ip) == nil {
		r.add("listen", "ip", "want an IP number, got %q", ip)
	}
}
