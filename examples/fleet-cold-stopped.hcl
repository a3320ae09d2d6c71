# Gateways stand still (SIGSTOP) with loans in their hands, and go on after others have come to have the budgets.
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
  at = "4550ms"
  for = "3s"
  gateway = "g1"
  do = "stop"
}

trouble {
  at = "4700ms"
  for = "3s"
  gateway = "g2"
  do = "stop"
}

trouble {
  at = "4850ms"
  for = "3s"
  gateway = "g3"
  do = "stop"
}

trouble {
  at = "5000ms"
  for = "3s"
  gateway = "g4"
  do = "stop"
}

trouble {
  at = "5150ms"
  for = "3s"
  gateway = "g5"
  do = "stop"
}

trouble {
  at = "9s"
  node = "c"
  do = "replace"
}
