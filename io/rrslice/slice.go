// Package rrslice holds the part of an EndpointSliceList that the project uses.
// Unknown fields are ignored.
package rrslice

// Path of the list below the address of the service.
const Path = "/apis/discovery.k8s.io/v1/endpointslices"

// ServiceLabel is the label that names the service of a slice.
const ServiceLabel = "kubernetes.io/service-name"

// Entries is the service whose endpoints are the entries themselves.
const Entries = "rattanring"

// Annotations of a slice.
const (
	Slots  = "rattanring/slots"
	Conns  = "rattanring/conns"
	Cores  = "rattanring/cores"  // thousandths
	Memory = "rattanring/memory" // bytes
	Accels = "rattanring/accels"
	Region = "rattanring/region"
)

// List is all slices.
type List struct {
	APIVersion string  `json:"apiVersion"`
	Kind       string  `json:"kind"`
	Items      []Slice `json:"items"`
}

// Slice is some endpoints of one service that share their ports and annotations.
type Slice struct {
	Metadata  Metadata   `json:"metadata"`
	Ports     []Port     `json:"ports"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Metadata names a slice and its service.
type Metadata struct {
	Name        string            `json:"name"`
	Labels      map[string]string `json:"labels"`
	Annotations map[string]string `json:"annotations,omitempty"`
}

// Port is where the endpoints listen.
type Port struct {
	Port int `json:"port"`
}

// Endpoint is one instance.
type Endpoint struct {
	Addresses  []string   `json:"addresses"`
	Conditions Conditions `json:"conditions"`
	Target     Target     `json:"targetRef"`
	Zone       string     `json:"zone"`
}

// Conditions of an endpoint. A nil Ready counts as ready.
type Conditions struct {
	Ready       *bool `json:"ready,omitempty"`
	Terminating bool  `json:"terminating,omitempty"`
}

// Target names the instance.
type Target struct {
	Name string `json:"name"`
}
