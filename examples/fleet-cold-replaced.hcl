# Nodes are replaced one after another and come cold, while all else goes well.
seed     = 7
length   = "18s"
config   = "kitchens.hcl"
gateways = 12
keepers  = 3
lease    = "1s"
drift    = 0.01
peers    = true

node "a" {
  shard = 0
  cores = 2
  unit  = "10ms"
  queue = 64
}
node "b" {
  shard = 1
  cores = 2
  unit  = "10ms"
  queue = 64
}
node "c" {
  shard = 2
  cores = 2
  unit  = "10ms"
  queue = 64
}

client "kitchen" {
  count   = 24
  volume  = "orders"
  do      = "read"
  rate    = 20
  files   = 6
  blocks  = 2
  retries = 1
}
client "cook" {
  count   = 6
  volume  = "orders"
  do      = "write"
  rate    = 4
  files   = 6
  blocks  = 2
  retries = 1
}

trouble {
  at = "4s"
  node = "b"
  do = "replace"
}

trouble {
  at = "7s"
  node = "c"
  do = "replace"
}
