# Five balancers that are members of a fleet, through what may come between them: clients must notice nothing of it, and the members
# have to find together again at the end.
experiment {
  title  = "Members of a fleet, cut off, stopped and lost"
  mode   = "sockets"
  length = "40s"
  seeds  = [1, 2, 3]
}
world {
  balancers    = 5
  zones        = 2
  outer_limit  = "1500ms"
  message_each = "250ms"
  fleet {
    copies = 3
  }
  store {
    rate = 400
    time = "3ms"
  }
  grade "feed" {}
  grade "order" { effect = "unrepeatable" }
  server "std" { count = 8 }
}
load {
  standing = 150
  fill     = "2s"
  rate     = 30
  life     = "8s"
  groups   = 30
}
fault "members-lossy" {
  at   = "3s"
  for  = "6s"
  part = "40%"
  rate = 0.3
}
fault "members-slow" {
  at   = "9s"
  for  = "4s"
  part = "40%"
  late = "300ms"
  ways = "out"
}
fault "stall" {
  at   = "11s"
  for  = "4s"
  part = "20%"
}
fault "members-cut" {
  at   = "16s"
  for  = "8s"
  part = "40%"
}
fault "members-reorder" {
  at   = "24s"
  for  = "4s"
  part = "60%"
  rate = 0.5
}
fault "machine-lost" {
  at   = "28s"
  for  = "4s"
  part = "20%"
}
