import { z } from 'zod';
import { GATEWAY_GROUPS } from './gatewayGroups.ts';
import { GROUPS, OperatorSettings } from './groups.ts';
import { type SettingMeta, settingRegistry } from './types.ts';

/** One setting: where its value goes, its schema and its description. */
export interface SettingDefinition extends SettingMeta {
  group: string;
  key: string;
  schema: z.ZodType<unknown, string | undefined>;
}

/** The settings of `entry`, in the order of their groups. */
export const SETTINGS: readonly SettingDefinition[] = Object.entries(GROUPS).flatMap(
  ([group, schema]) => getDefinitions(group, schema),
);

/** The settings of `gateway`, in the order of their groups. */
export const GATEWAY_SETTINGS: readonly SettingDefinition[] = Object.entries(
  GATEWAY_GROUPS,
).flatMap(([group, schema]) => getDefinitions(group, schema));

/** The settings of commands that talk to a host. */
export const OPERATOR_SETTINGS: readonly SettingDefinition[] = getDefinitions(
  'operator',
  OperatorSettings,
);

function getDefinitions(group: string, schema: z.ZodObject): SettingDefinition[] {
  return Object.entries(schema.shape).map(([key, value]) => {
    const meta = settingRegistry.get(value);
    if (meta === undefined) throw new Error(`setting ${group}.${key} has no description`);
    return { ...meta, group, key, schema: value as SettingDefinition['schema'] };
  });
}
