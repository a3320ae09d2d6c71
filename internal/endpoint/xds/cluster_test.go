package xds_test

import (
	"strings"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"irispost/internal/endpoint/xds"
	"irispost/internal/xdsstandin"
)

// apiVersionV2 is version 2 of the API, which is not supported. It replaces the library's constant, which is
// deprecated.
const apiVersionV2 = corev3.ApiVersion(1)

// Clusters of type EDS and STATIC are read. A field without effect gives a note.
func TestClusterIsRead(t *testing.T) {
	c, err := xds.ReadCluster(xdsstandin.Cluster("storage"))
	if err != nil || c.ServiceName != "storage" || c.Inline != nil {
		t.Errorf("got cluster %+v, error %v; want ServiceName storage and no inline assignment", c, err)
	}
	static := &clusterv3.Cluster{
		Name:           "s",
		LoadAssignment: xdsstandin.Assignment("s", twoNodes),
		ConnectTimeout: durationpb.New(time.Second),
	}
	c, err = xds.ReadCluster(static)
	if err != nil || len(c.Inline.Nodes) != 2 || len(c.Notes) != 1 || !strings.Contains(c.Notes[0], "connect_timeout") {
		t.Errorf("got cluster %+v, error %v; want two inline nodes, and one note, on connect_timeout", c, err)
	}
}

// Each field of a cluster that is invalid, or requests unsupported behaviour, gives an error that names it.
func TestInvalidClusterIsRejected(t *testing.T) {
	for want, modify := range map[string]func(*clusterv3.Cluster){
		"cluster: name is empty":     func(c *clusterv3.Cluster) { c.Name = "" },
		"without eds_cluster_config": func(c *clusterv3.Cluster) { c.EdsClusterConfig = nil },
		"without eds_config":         func(c *clusterv3.Cluster) { c.EdsClusterConfig.EdsConfig = nil },
		"resource_api_version V2": func(c *clusterv3.Cluster) {
			c.EdsClusterConfig.EdsConfig.ResourceApiVersion = apiVersionV2
		},
		"load_assignment with type EDS": func(c *clusterv3.Cluster) {
			c.LoadAssignment = xdsstandin.Assignment("x", twoNodes)
		},
		"STATIC without load_assignment": func(c *clusterv3.Cluster) { c.ClusterDiscoveryType = nil },
		"type STRICT_DNS is not supported": func(c *clusterv3.Cluster) {
			c.ClusterDiscoveryType = &clusterv3.Cluster_Type{Type: clusterv3.Cluster_STRICT_DNS}
		},
		"cluster_type is not supported": func(c *clusterv3.Cluster) {
			c.ClusterDiscoveryType = &clusterv3.Cluster_ClusterType{ClusterType: &clusterv3.Cluster_CustomClusterType{Name: "x"}}
		},
		"health_checks is not supported": func(c *clusterv3.Cluster) { c.HealthChecks = []*corev3.HealthCheck{{}} },
		"transport_socket is not supported": func(c *clusterv3.Cluster) {
			c.TransportSocket = &corev3.TransportSocket{Name: "tls"}
		},
		"outlier_detection is not supported": func(c *clusterv3.Cluster) {
			c.OutlierDetection = &clusterv3.OutlierDetection{}
		},
		"circuit_breakers is not supported": func(c *clusterv3.Cluster) {
			c.CircuitBreakers = &clusterv3.CircuitBreakers{}
		},
		"path_config_source is not": func(c *clusterv3.Cluster) {
			path := &corev3.PathConfigSource{Path: "/x"}
			c.EdsClusterConfig.EdsConfig.ConfigSourceSpecifier = &corev3.ConfigSource_PathConfigSource{PathConfigSource: path}
		},
	} {
		c := xdsstandin.Cluster("storage")
		modify(c)
		if _, err := xds.ReadCluster(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with: %s; got: %v", want, err)
		}
	}
	bad := &clusterv3.Cluster{Name: "s", LoadAssignment: xdsstandin.Assignment("", twoNodes)}
	if _, err := xds.ReadCluster(bad); err == nil || !strings.Contains(err.Error(), "cluster_name is empty") {
		t.Error(err)
	}
}
