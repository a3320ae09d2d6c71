package xds

import (
	"fmt"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// MaxClusters limits the number of clusters.
const MaxClusters = 4096

// Cluster holds the parts of an Envoy cluster that are used.
type Cluster struct {
	Name        string
	ServiceName string      // the name of its assignment; empty if the assignment is inline
	Inline      *Assignment // the assignment of a static cluster
	Notes       []string    // fields that are set but have no effect
}

var (
	clusterFields = map[protoreflect.Name]fieldSupport{
		"name":                              read,
		"type":                              read,
		"eds_cluster_config":                read,
		"load_assignment":                   read,
		"connect_timeout":                   ignored,
		"lb_policy":                         ignored,
		"alt_stat_name":                     ignored,
		"metadata":                          ignored,
		"per_connection_buffer_limit_bytes": ignored,
	}
	edsClusterConfigFields = map[protoreflect.Name]fieldSupport{
		"eds_config":   read,
		"service_name": read,
	}
	configSourceFields = map[protoreflect.Name]fieldSupport{
		"ads":                   read,
		"self":                  read,
		"resource_api_version":  read,
		"initial_fetch_timeout": ignored,
	}
)

// ReadCluster validates and converts a cluster (envoy.config.cluster.v3.Cluster). If it returns ValidationErrors, the
// Cluster holds what could be read.
func ReadCluster(message *clusterv3.Cluster) (*Cluster, error) {
	r := &resourceReader{}
	out := &Cluster{Name: message.GetName()}
	at := fmt.Sprintf("cluster %q", message.GetName())
	if message.GetName() == "" {
		r.addError("cluster", "name is empty")
	}
	r.checkFields(at, message, clusterFields)
	switch message.GetType() {
	case clusterv3.Cluster_EDS:
		out.ServiceName = r.readEDSCluster(at, message)
	case clusterv3.Cluster_STATIC:
		out.Inline = r.readStaticCluster(at, message)
	default:
		r.addError(at, "type %v is not supported, only EDS and STATIC are", message.GetType())
	}
	out.Notes = r.notes
	return out, r.err()
}

// readEDSCluster checks a cluster of type EDS and returns the name of its assignment.
func (r *resourceReader) readEDSCluster(at string, message *clusterv3.Cluster) (serviceName string) {
	config := message.GetEdsClusterConfig()
	if config == nil {
		r.addError(at, "type EDS without eds_cluster_config")
		return ""
	}
	r.checkFields(at+" eds_cluster_config", config, edsClusterConfigFields)
	r.checkConfigSource(at, config.GetEdsConfig())
	if message.GetLoadAssignment() != nil {
		r.addError(at, "load_assignment with type EDS")
	}
	if config.GetServiceName() == "" {
		return message.GetName()
	}
	return config.GetServiceName()
}

// checkConfigSource checks that a cluster's endpoints are to be fetched over the same stream as the cluster.
func (r *resourceReader) checkConfigSource(at string, source *corev3.ConfigSource) {
	if source == nil {
		r.addError(at, "eds_cluster_config without eds_config")
		return
	}
	r.checkFields(at+" eds_config", source, configSourceFields)
	if v := source.GetResourceApiVersion(); v != corev3.ApiVersion_V3 && v != corev3.ApiVersion_AUTO {
		r.addError(at, "resource_api_version %v is not supported, only V3 is", v)
	}
}

// readStaticCluster checks a cluster of type STATIC and returns its assignment, or nil if that is missing or invalid.
func (r *resourceReader) readStaticCluster(at string, message *clusterv3.Cluster) *Assignment {
	if message.GetLoadAssignment() == nil {
		r.addError(at, "type STATIC without load_assignment")
		return nil
	}
	a, err := ReadAssignment(message.GetLoadAssignment())
	if err != nil {
		r.addError(at, "%v", err)
		return nil
	}
	r.notes = append(r.notes, a.Notes...)
	if message.GetEdsClusterConfig() != nil {
		r.addError(at, "eds_cluster_config with type STATIC")
	}
	return a
}
