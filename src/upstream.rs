//! Records of announced upstreams and their spread through the fleet.
