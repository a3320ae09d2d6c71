# As canteen.hcl, for days on which twelve gateways meet nodes that have just started.
gateway "kitchens" {
  listen   = "127.0.0.1:2022"
  nodes    = "nodes.hcl"
  shards   = 3
  extent   = "256KiB"
  gateways = 12
  stop_by  = "10s"

  limits {
    connections = 1024
    outstanding = 256
    handles     = 1024
  }
  sweep {
    every = "10m"
    idle  = "1h"
  }
}

# A unit is 16 KiB. A job counts at least a quarter of one.
units {
  bytes   = "16KiB"
  least   = 0.25
  mean    = 1
  largest = 16
}

# A node that has just started does part of its work, and falls over when pushed.
cold {
  from     = 0.2
  time     = "8s"
  multiple = 2
  window   = "1500ms"
  units    = 6
}

# Executions beyond the first of each job: a few, and a share of the jobs taken.
further {
  window = "10s"
  free   = 20
  share  = 0.2
}

executions {
  most          = 3
  second_copies = true
  calling_off   = true
}

dismissals {
  advice = true
  most   = "1s"
}

order {
  rest = "100ms"
}

plan "standard" {
  weight  = 1
  rate    = 100
  reserve = 60
}

plan "priority" {
  weight  = 4
  rate    = 200
  reserve = 160
}

plan "capped" {
  weight = 1
  rate   = 30
  limit  = 60
  burst  = 60
  slack  = 2
}

product "order-read" {
  goal     = "300ms"
  patience = "2500ms"
}

product "order-write" {
  goal     = "300ms"
  patience = "2500ms"
  in_turn  = true
}

product "order-change" {
  kind     = "referenced"
  group    = "shard"
  window   = "5s"
  goal     = "500ms"
  patience = "2500ms"
}

product "bulk-read" {
  goal     = "1200ms"
  patience = "4s"
}

volume "orders" {
  id    = 1
  plan  = "priority"
  hosts = 2
  product "order-read" {
    for = ["read", "look"]
  }
  product "order-write" {
    for = ["write"]
  }
  product "order-change" {
    for = ["change"]
  }
}

volume "exports" {
  id    = 2
  plan  = "standard"
  hosts = 2
  product "bulk-read" {
    for = ["read"]
  }
  product "order-read" {
    for = ["look"]
  }
  product "order-write" {
    for = ["write"]
  }
  product "order-change" {
    for = ["change"]
  }
}

volume "trial" {
  id    = 3
  plan  = "capped"
  hosts = 2
  product "order-read" {
    for = ["read", "look"]
  }
  product "order-write" {
    for = ["write"]
  }
  product "order-change" {
    for = ["change"]
  }
}
