// Package deploy holds the settings that a node gets from its deployment: its VM, its
// failure domain, its addresses and its limits.
package deploy

import (
	"time"

	"fuchsiapier/internal/base/check"
)

// Settings holds the deployment's settings of a node, as one file of it says. Compare
// tells which of them may change while the process runs.
type Settings struct {
	// File is where the settings were read from.
	File File
	// Node is the node's name.
	Node string
	// Domain is the name of the node's failure domain.
	Domain string
	Region string
	// Role is the role that the deployment gives to the process.
	Role string
	// IP is the node's own IP address.
	IP string
	// Domains maps the name of every failure domain to its region.
	Domains map[string]string
	// CallersAddress is the listen address (ip:port) for requests of callers on the VM
	// and of the target itself.
	CallersAddress string
	// Gate is the listen address (ip:port) for calls that other nodes forward to the
	// target.
	Gate string
	// ReadinessAddress is the listen address (ip:port) of the readiness check.
	ReadinessAddress string
	// AnnounceAddress is the listen address (ip:port) for the announcements of the
	// target on the VM.
	AnnounceAddress string
	// MeshPort is the port on IP for datagrams of other nodes, MetricsPort that for
	// metrics.
	MeshPort    int
	MetricsPort int
	// TargetService is the name of the service of the target on the VM.
	TargetService string
	// TargetAddress is the address (host:port) of the target on the VM, "" if it is not known.
	TargetAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow are the retry budget of each service: over
	// all nodes, the retries within RetryWindow are at most RetryRatio times the
	// callers' requests plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MemoryBytes is the memory limit that the deployment sets for the node, in bytes.
	MemoryBytes int64
	// Descriptors is the limit on open descriptors that the deployment sets for the node.
	Descriptors int
}

// File describes the file that settings were read from.
type File struct {
	// Source names the file.
	Source string
	// Digest identifies its contents. SharedDigest leaves out what differs between the
	// nodes of a deployment by design, such as names and addresses, so nodes whose files
	// say the same have the same one.
	Digest       string
	SharedDigest string
	// Lines holds the line of each key of the file.
	Lines check.Lines
	// Keys holds the file's key of each setting.
	Keys map[Field]string
}
