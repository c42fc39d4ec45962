"""Reading, validation and decoding of the platform's JSON configuration and the operator's TOML file.

Defines the validity of each value and the one-line message for each error. The package has no state; it
returns immutable values.

    errors                the base class of configuration errors, and a subclass for each kind of error
    platform              the platform's JSON file, except for its settings
    settings_parser       the keys and values of the settings, each with the field that it sets
    settings_flattening   conversion of nested settings to path=value pairs, the format of the simulator
    operator_file         the operator's TOML file
    schema                pydantic models that validate both files; keys that differ from field names
                          are aliases

The keys of the files are spelled out in these modules only, except for those of an endpoint list, which are
in `discovery.endpoint_list`. The package is imported by the composition root, `lifecycle`, the command line
and the simulator adapter. `schema` imports pydantic and is therefore imported only if an operator's file is
used or a file is checked.
"""
