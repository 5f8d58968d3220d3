package setup

import "time"

type (
	// HostConfig holds the parsed settings of a host on the prepared platform.
	HostConfig struct {
		// Name is unique in the fleet, Domain the failure domain.
		Name, Domain string
		// CallerAddress, ReadinessAddress, ResolverAddress and PeerAddress are
		// the listen addresses for callers, readiness checks, address lookups
		// and other nodes. An address is empty if the host does not serve it.
		CallerAddress, ReadinessAddress, ResolverAddress, PeerAddress string
		// StoreAddress is the address of the platform's object store.
		StoreAddress string
		// StoreValueBytes is the largest size of an object in the store.
		StoreValueBytes int
		// MemoryBytes is the memory limit of the process, in bytes.
		MemoryBytes int64
		// Descriptors is the largest number of open descriptors of the process.
		Descriptors int
		// CPUQuota is the CPU quota of the host, in cores.
		CPUQuota float64
		// AddressLifetime is how long callers may cache looked-up addresses.
		AddressLifetime time.Duration
		// GracePeriod is the time from SIGTERM to SIGKILL.
		GracePeriod time.Duration
		// LeaseDuration is the duration of the order sender's lease.
		// TakeoverDelay is how long the next holder waits after the lease has
		// expired.
		LeaseDuration, TakeoverDelay time.Duration
		// ConfigApplyLimit is the time limit for a configuration to be in force at
		// all hosts.
		ConfigApplyLimit time.Duration
		// Retention is how long the results of a batch can be read.
		Retention time.Duration
		// DutyAddress is the address of the platform's API for duties, empty if there is
		// none. ReportsUsage and OrdersEndpoints are the duties that it accepts, and
		// DutyCallsPerSecond is how many calls it accepts from all hosts together.
		DutyAddress                   string
		ReportsUsage, OrdersEndpoints bool
		DutyCallsPerSecond            float64
		// UsageWindow is the length of the windows of usage reports, and
		// UsageReportLimit the time after a window's end in which its report is due.
		UsageWindow, UsageReportLimit time.Duration
		// RevokeFailClosed makes a host refuse requests that need a key once its
		// configuration has not been confirmed for RevokeLimit.
		RevokeFailClosed bool
		RevokeLimit      time.Duration
	}

	// Host holds the checked settings of a host on the prepared platform.
	Host struct{ config HostConfig }
)

// NewHost returns a Host of settings that the caller has checked.
func NewHost(config HostConfig) *Host { return &Host{config: config} }

// Name returns the host's name, unique in the fleet.
func (h *Host) Name() string { return h.config.Name }

// Domain returns the failure domain.
func (h *Host) Domain() string { return h.config.Domain }

// CallerAddress returns the listen address for callers, empty if there is none.
func (h *Host) CallerAddress() string { return h.config.CallerAddress }

// ReadinessAddress returns the listen address for the platform's readiness checks.
func (h *Host) ReadinessAddress() string { return h.config.ReadinessAddress }

// ResolverAddress returns the listen address for callers' address lookups.
func (h *Host) ResolverAddress() string { return h.config.ResolverAddress }

// PeerAddress returns the listen address for other nodes.
func (h *Host) PeerAddress() string { return h.config.PeerAddress }

// StoreAddress returns the address of the platform's object store.
func (h *Host) StoreAddress() string { return h.config.StoreAddress }

// StoreValueBytes returns the largest size of an object in the store.
func (h *Host) StoreValueBytes() int { return h.config.StoreValueBytes }

// MemoryBytes returns the memory limit in bytes.
func (h *Host) MemoryBytes() int64 { return h.config.MemoryBytes }

// Descriptors returns the largest number of open descriptors.
func (h *Host) Descriptors() int { return h.config.Descriptors }

// CPUQuota returns the CPU quota of the host, in cores.
func (h *Host) CPUQuota() float64 { return h.config.CPUQuota }

// AddressLifetime returns how long callers may cache looked-up addresses.
func (h *Host) AddressLifetime() time.Duration { return h.config.AddressLifetime }

// GracePeriod returns the time from SIGTERM to SIGKILL.
func (h *Host) GracePeriod() time.Duration { return h.config.GracePeriod }

// LeaseDuration returns how long the order sender's lease is valid after its
// renewal.
func (h *Host) LeaseDuration() time.Duration { return h.config.LeaseDuration }

// TakeoverDelay returns how long the next holder waits after the order sender's
// lease has expired.
func (h *Host) TakeoverDelay() time.Duration { return h.config.TakeoverDelay }

// ConfigApplyLimit returns the time limit for a configuration to be in force at
// all hosts.
func (h *Host) ConfigApplyLimit() time.Duration { return h.config.ConfigApplyLimit }

// Retention returns how long the results of a batch can be read.
func (h *Host) Retention() time.Duration { return h.config.Retention }

// DutyAddress returns the address of the platform's API for duties, empty if there is
// none.
func (h *Host) DutyAddress() string { return h.config.DutyAddress }

// ReportsUsage reports whether usage of teams is to be reported to that API.
func (h *Host) ReportsUsage() bool { return h.config.DutyAddress != "" && h.config.ReportsUsage }

// OrdersEndpoints reports whether endpoints are to be ordered from that API.
func (h *Host) OrdersEndpoints() bool { return h.config.DutyAddress != "" && h.config.OrdersEndpoints }

// DutyCallsPerSecond returns how many calls that API accepts from all hosts together.
func (h *Host) DutyCallsPerSecond() float64 { return h.config.DutyCallsPerSecond }

// UsageWindow returns the length of the windows of usage reports.
func (h *Host) UsageWindow() time.Duration { return h.config.UsageWindow }

// UsageReportLimit returns the time after a window's end in which its report is due.
func (h *Host) UsageReportLimit() time.Duration { return h.config.UsageReportLimit }

// RevokeFailClosed reports whether requests that need a key are refused once the
// configuration has not been confirmed for RevokeLimit.
func (h *Host) RevokeFailClosed() bool { return h.config.RevokeFailClosed }

// RevokeLimit returns how long a configuration that has not been confirmed decides on keys
// if RevokeFailClosed is set.
func (h *Host) RevokeLimit() time.Duration { return h.config.RevokeLimit }
