version = "c:3 e:9"
node "127.0.0.1:7000" {
  shard    = 0
  zone     = "a"
  standing = "ready"
}
node "127.0.0.1:7001" {
  shard    = 1
  zone     = "b"
  standing = "ready"
  name     = "one"
  priority = 1
  weight   = 2.5
  born     = "2026-01-02T15:04:05.123456789Z"
}
node "127.0.0.1:7002" {
  shard    = 2
  zone     = "b"
  standing = "draining"
}
