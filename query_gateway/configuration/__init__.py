"""The platform's JSON, the settings in it, and the operator's file: read, checked and decoded.

Decides what is a fault and what its one line says. Owns no state: it returns frozen values.

    errors                one base, and an error for each way in which a file can be wrong
    platform              the platform's JSON: its keys, except for those of the settings
    settings_parser       the keys and words of the settings, and the field that each of them fills
    settings_flattening   the settings as path=value words, as the simulator sends them
    operator_file         the operator's TOML
    schema                the form of both files, and every fault; keys that differ from our names are aliases

The keys of the files stand in these modules alone, those of an endpoint list in `discovery.endpoint_list`.
Imported by the composition root, `lifecycle`, the command line and the simulator's adapter. `schema` loads
pydantic, so it is imported only where an operator's file is named or a file is checked.
"""
